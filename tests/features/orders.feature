Feature: Orders reach engines once, in order and without aborting a request

  Scenario: An engine is drained, loads weights and serves them
    Given a configured fleet of 3 VMs
    And engines engine-1 and engine-2
    When engine-1 is ordered to load weights 2027-01 while callers stream
    Then the order is done
    And no stream was aborted and no request ran during the load
    When a document asks for weights 2027-01
    Then every response is from weights 2027-01 from then on

  Scenario: An older order is refused by an engine that checks
    Given a configured fleet of 3 VMs
    And engines engine-1 and engine-2
    When engine-1 has already followed a newer order
    And engine-1 is ordered to load weights 2027-01
    Then the order is refused

  Scenario: The last serving engine is not drained
    Given a configured fleet of 3 VMs
    And engines engine-1
    When engine-1 is ordered to load weights 2027-01
    Then the order is refused
    And engine-1 still serves

  Scenario: A new leader executes a pending order
    Given a configured fleet of 3 VMs
    And engines engine-1 and engine-2
    When engine-1 is ordered to load weights 2027-01 and the leader is killed
    Then the live VMs list the order as done

  Scenario: A document rolls out new weights without refused or aborted requests
    Given a configured fleet of 3 VMs
    And engines engine-1, engine-2, engine-3, engine-4 and engine-5
    When a document asks for weights 2027-01 while callers keep streaming
    Then every engine holds weights 2027-01 in the end
    And no request was refused and no stream was aborted or resumed
    And no request ran on an engine while it loaded
    And engines with both weights served during the rollout

  Scenario: The leader fails in the middle of a rollout
    Given a configured fleet of 3 VMs
    And engines engine-1, engine-2 and engine-3
    When a document asks for weights 2027-01
    And the leader is killed once an engine is ordered
    Then every engine holds weights 2027-01 in the end
