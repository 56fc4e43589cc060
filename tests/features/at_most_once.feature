Feature: A request that must not be repeated runs at most once
  Otherwise a resent payment would be charged twice.

  Background:
    Given a configured fleet of 3 VMs
    And an order service

  Scenario: A resend through any VM gets the stored response
    When an order is sent in turn through all VMs
    Then each response is the same and the order ran 1 times

  Scenario: Concurrent copies through all VMs run once
    When 12 copies of an order are sent at once through all VMs
    Then no copy is reported as not-run after the order ran
    And the order ran 1 times

  Scenario: The response of the service is lost
    When the response of the service to an order is lost
    Then the caller is told that the outcome is unknown
    And a resend is told that the outcome is unknown
    And the order ran 1 times

  Scenario: The VM is killed while the order runs
    When the service hangs and vm2 is killed while an order runs through it
    Then a resend is told that the outcome is unknown
    And the order ran 1 times

  Scenario: The VM is killed while it sends the request
    When the service is frozen and vm2 is killed while it sends an order
    And the service is resumed
    Then a resend is told that the outcome is unknown
    And the order ran at most once

  Scenario: The VM is killed after the response and before it is stored
    When vm2 is disconnected while an order runs through it
    And the service responds
    Then the caller got the complete response
    When vm2 is killed
    And the links are healed
    Then a resend is told that the outcome is unknown
    And the order ran 1 times

  Scenario: A response that could not be stored at once is stored later
    When vm2 is disconnected while an order runs through it
    And the service responds
    Then the caller got the complete response
    When the links are healed
    Then a resend gets the stored response in the end
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
    Then the second order is refused with idempotency_conflict
    And the order ran 1 times

  Scenario: A claim survives the loss of the leader
    When an order is sent through vm1
    And the leader is killed and a resend goes through another VM
    Then the resend gets the stored response
    And the order ran 1 times
