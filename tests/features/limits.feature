Feature: No customer gets more than its rate and burst over all VMs

  Scenario: Loads through every VM stay within burst and rate
    Given a fleet of 3 VMs with a rate of 300 and a burst of 900 tokens
    And engines engine-1 and engine-2
    When callers ask as fast as they can through all VMs, one being cut off and restarted
    Then the admitted tokens stay within burst and rate
    And each refusal is not run and says when to come back

  Scenario: One VM may use the whole rate
    Given a fleet of 3 VMs with a rate of 3000 and a burst of 6000 tokens
    And engines engine-1 and engine-2
    When a caller asks through vm2 for a request larger than its part
    Then the request is served with borrowed tokens
