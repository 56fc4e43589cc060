Feature: Orders reach engines once, in order and without cutting a request

  Scenario: An engine is drained, loads weights and serves them
    Given a configured fleet of 3 VMs
    And engines engine-1 and engine-2
    When engine-1 is ordered to load weights 2027-01 while callers stream
    Then the order is done
    And no stream was cut and no request ran during the load
    When a document asks for weights 2027-01
    Then every answer is of weights 2027-01 from then on

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

  Scenario: A new leader carries a pending order out
    Given a configured fleet of 3 VMs
    And engines engine-1 and engine-2
    When engine-1 is ordered to load weights 2027-01 and the leader is killed
    Then the live VMs list the order as done

  Scenario: A document rolls new weights out without a refusal or a cut
    Given a configured fleet of 3 VMs
    And engines engine-1, engine-2, engine-3, engine-4 and engine-5
    When a document asks for weights 2027-01 while callers stream on
    Then every engine holds weights 2027-01 in the end
    And no caller was refused and no stream was cut or resumed
    And no request ran on an engine while it loaded
    And engines of both weights served meanwhile

  Scenario: The leader is lost in the middle of a rollout
    Given a configured fleet of 3 VMs
    And engines engine-1, engine-2 and engine-3
    When a document asks for weights 2027-01
    And the leader is killed once an engine is ordered
    Then every engine holds weights 2027-01 in the end
