Feature: Requests that wait for a busy engine
  A late check stalls a queue; a request that nobody waits for must not
  take an engine's time.

  Background:
    Given a configured fleet of 1 VMs
    And engines engine-1
    And a long prompt that keeps engine-1 busy

  Scenario: A caller that leaves while it waits costs no engine time
    When a caller leaves while its request waits
    And the engine goes on
    Then the request that kept it busy is answered
    And engine-1 ran 1 request

  Scenario: A key that is withdrawn while its request waits stops it
    When a key is withdrawn while its request waits
    Then the waiting request is refused as not run
    When the engine goes on
    Then the request that kept it busy is answered
    And engine-1 ran 1 request

  Scenario: What waited is answered in the end
    When 5 more requests wait
    And the engine goes on
    Then the request that kept it busy is answered
    And the 5 others are answered
    And engine-1 ran 6 request
