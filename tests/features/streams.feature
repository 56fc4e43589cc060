Feature: Every stream is complete and in order
  A booth's ruling arrives whole, whatever breaks behind the router.

  Scenario: An answer passes unchanged
    Given a configured fleet of 1 VMs
    And engines engine-1
    When a caller streams an answer of 40 words
    Then the stream is complete and in order
    And the words are those that the engine gives directly

  Scenario Outline: A broken stream goes on with another engine
    Given a configured fleet of 1 VMs
    And engines engine-1 and engine-2
    When the engines' next streams meet the fault <fault>
    And a caller streams an answer of 40 words
    Then the stream is complete and in order
    And the words are those that the engine gives directly
    And the daemon logged the event stream-resumed

    Examples:
      | fault    |
      | crash:7  |
      | reset:7  |
      | skip:7   |
      | stall:7  |

  Scenario: A stream that cannot go on ends with an explicit error
    Given a configured fleet of 1 VMs
    And engines engine-1
    When the engines' next streams meet the fault crash:7
    And a caller streams an answer of 40 words
    Then the stream ends with the error stream_broken after 7 words

  Scenario: A caller that leaves cancels its work
    Given a configured fleet of 1 VMs
    And engines engine-1
    When a caller leaves after the first words of a long answer
    Then engine-1 has cancelled 1 request
    And the VM has no request in flight

  Scenario: A truncated whole answer is asked for again
    Given a configured fleet of 1 VMs
    And engines engine-1 and engine-2
    When the path to engine-1 and engine-2 resets once after 200 bytes
    And a caller asks for a whole answer of 10 words
    Then the answer is complete

  Scenario: Another VM serves while connections to an engine are silent
    Given a configured fleet of 1 VMs
    And engines engine-1
    When existing connections to engine-1 go silent in mid-stream
    Then the stream is complete and in order

  Scenario: An answer that names another request is dropped
    Given a configured fleet of 1 VMs
    And engines engine-1 and engine-2
    When the engines' next streams meet the fault crossed:0
    And a caller streams an answer of 40 words
    Then the stream is complete and in order
    And the words are those that the engine gives directly

  Scenario: A frozen engine keeps no caller waiting until the deadline
    Given a configured fleet of 1 VMs
    And engines engine-1 and engine-2
    When the engine that holds a prompt is frozen
    And a caller streams an answer of 40 words
    Then the stream is complete and in order
    And the daemon logged the event endpoint-overdue

  Scenario: A connection that goes silent before the first word costs one try
    Given a configured fleet of 1 VMs
    And engines engine-1 and engine-2
    When the connection of a waiting request goes silent
    Then the stream is complete and in order
