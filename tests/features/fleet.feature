Feature: The fleet tolerates the loss of VMs, disks and links

  Scenario: A failed voter is replaced, and a second failure is tolerated
    Given a configured fleet of 3 VMs
    And a spare VM vm4 with a disk
    When vm3 is killed
    And vm3 is replaced by vm4
    And vm2 is killed
    Then a change is accepted through vm1
    And vm1 and vm4 hold version 2

  Scenario: A VM with an emptied data folder does not vote as its old replica
    Given a configured fleet of 3 VMs
    When vm3 is killed and its data folder is emptied
    And vm3 starts again
    Then vm3 is a learner and its old replica a voter
    And a change is accepted through vm1
    When vm3 is replaced by vm3
    Then vm3 is a voter with a new replica

  Scenario: A new replica installs a snapshot after the log was compacted
    Given a configured fleet of 3 VMs that compact their logs often
    When 400 keys are issued
    And vm3 is killed and its data folder is emptied
    And vm3 starts again
    And vm3 is replaced by vm3
    Then vm3 has installed a snapshot
    And every VM has every key, also after all VMs restart at once

  Scenario: A replacement without a quorum is refused
    Given a configured fleet of 3 VMs
    And a spare VM vm4 with a disk
    When vm2 is killed
    And vm3 is killed
    Then replacing vm3 by vm4 is refused

  Scenario: A link that stops delivering data is replaced
    Given a configured fleet of 3 VMs
    When existing links between all VMs stop delivering data but new ones work
    Then a change is accepted through vm1
    And all VMs hold version 2

  Scenario: A stopping endpoint completes its answers and gets no new requests
    Given a configured fleet of 3 VMs
    And engines engine-1 and engine-2
    When engine-1 is stopped while it answers
    Then its answers are complete
    And no VM sends new requests to engine-1

  Scenario: A drained endpoint gets no new requests until it is undrained
    Given a configured fleet of 3 VMs
    And engines engine-1 and engine-2
    When engine-1 is drained
    Then no VM sends new requests to engine-1
    When engine-1 is undrained
    Then every VM lists engine-1 as serving

  Scenario: An endpoint without announcements is probed before it is removed
    Given a configured fleet of 2 VMs
    And an engine engine-1 that announces itself once
    Then engine-1 still serves after its announcement has expired
    When engine-1 is killed without notice
    Then every VM removes engine-1

  Scenario: A restarted engine starts with an empty cache
    Given a configured fleet of 1 VMs
    And engines engine-1 and engine-2
    When an engine with a cached prompt is killed and starts again
    Then the next answer is complete and uses no cached tokens

  Scenario: A link with another secret is refused
    Given a configured fleet of 1 VMs
    When a client with another secret opens a link
    Then the link is refused and logged
