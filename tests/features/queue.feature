Feature: Requests that wait for a busy engine
  A queued request that is checked too late stalls the queue, and a request
  whose caller has left must not use engine time.

  Background:
    Given a configured fleet of 1 VMs
    And engines engine-1
    And a long prompt that keeps engine-1 busy

  Scenario: A request whose caller disconnects while it waits is not run
    When a caller disconnects while its request waits
    And the engine resumes
    Then the request that kept it busy is answered
    And the request count of engine-1 is 1

  Scenario: A request whose key is withdrawn while it waits is refused
    When a key is withdrawn while its request waits
    Then the waiting request is refused as not run
    When the engine resumes
    Then the request that kept it busy is answered
    And the request count of engine-1 is 1

  Scenario: All waiting requests are answered
    When 5 more requests wait
    And the engine resumes
    Then the request that kept it busy is answered
    And the 5 others are answered
    And the request count of engine-1 is 6
