Feature: A request that may not be repeated runs at most once
  A doubled payment charges a family twice; a doubled order spoils.

  Background:
    Given a configured fleet of 3 VMs
    And an order service

  Scenario: A resend through any VM gets the stored answer
    When an order is sent in turn through all VMs
    Then each answer is the same and the order ran 1 times

  Scenario: Copies at the same moment through all VMs
    When 12 copies of an order are sent at once through all VMs
    Then no copy claims not-run after the order ran
    And the order ran 1 times

  Scenario: The answer of the service is lost
    When the service loses the answer of an order
    Then the caller is told that the outcome is unknown
    And a resend is told that the outcome is unknown
    And the order ran 1 times

  Scenario: The VM is killed while the order runs
    When the service hangs and vm2 is killed while an order runs through it
    Then a resend is told that the outcome is unknown
    And the order ran 1 times

  Scenario: The VM is killed while the request is on its way
    When the service is frozen and vm2 is killed while it sends an order
    And the service goes on
    Then a resend is told that the outcome is unknown
    And the order ran at most once

  Scenario: The VM is killed after the answer and before it is stored
    When vm2 is cut off while an order runs through it
    And the service answers
    Then the caller got the whole answer
    When vm2 is killed
    And the links are healed
    Then a resend is told that the outcome is unknown
    And the order ran 1 times

  Scenario: An answer that could not be stored at once is stored later
    When vm2 is cut off while an order runs through it
    And the service answers
    Then the caller got the whole answer
    When the links are healed
    Then a resend is replayed in the end
    And the order ran 1 times

  Scenario: Without a quorum nothing runs
    When the links between vm1 and vm2, vm3 are cut
    And an order is sent through vm1
    Then the order is refused as not run with Retry-After
    And the order ran 0 times
    When the links are healed
    Then the order succeeds through vm1 and ran 1 times

  Scenario: The service cannot be reached
    When the service is killed
    And an order is sent through vm1
    Then the order is refused as not run with Retry-After
    When the service comes back
    Then the order succeeds through vm2 and ran 1 times

  Scenario: The same key with another body is a conflict
    When the key of an order is used with another body
    Then the second is refused with idempotency_conflict
    And the order ran 1 times

  Scenario: A claim survives the loss of the leader
    When an order is sent through vm1
    And the leader is killed and a resend goes through another VM
    Then the resend is replayed
    And the order ran 1 times
