Feature: Rate and burst of a customer hold over all VMs together

  Scenario: Requests through all VMs stay within burst and rate
    Given a fleet of 3 VMs with a rate of 300 and a burst of 900 tokens
    And engines engine-1 and engine-2
    When callers send requests without pause through all VMs while one VM is partitioned and restarted
    Then the admitted tokens stay within burst and rate
    And each refused request was not run and has a Retry-After header

  Scenario: One VM may use the whole rate
    Given a fleet of 3 VMs with a rate of 3000 and a burst of 6000 tokens
    And engines engine-1 and engine-2
    When a caller sends vm2 a request that needs more tokens than the share of one VM
    Then the request is served with borrowed tokens
