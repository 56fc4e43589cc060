Feature: The fleet survives the loss of VMs, disks and links

  Scenario: A lost voter is replaced, and a second loss is survived
    Given a configured fleet of 3 VMs
    And a spare VM vm4 with a disk
    When vm3 is killed
    And vm3 is replaced by vm4
    And vm2 is killed
    Then a change is accepted through vm1
    And vm1 and vm4 hold version 2

  Scenario: An emptied data folder never votes as the old replica
    Given a configured fleet of 3 VMs
    When vm3 is killed and its data folder is emptied
    And vm3 starts again
    Then vm3 learns without voting
    And a change is accepted through vm1
    When vm3 is replaced by vm3
    Then vm3 votes with a new replica

  Scenario: A newcomer takes a snapshot over after the log was compacted
    Given a configured fleet of 3 VMs that compact their logs often
    When 400 keys are issued
    And vm3 is killed and its data folder is emptied
    And vm3 starts again
    And vm3 is replaced by vm3
    Then vm3 has installed a snapshot
    And every VM knows every key, also after a herd restart

  Scenario: A replacement that leaves no margin is refused
    Given a configured fleet of 3 VMs
    And a spare VM vm4 with a disk
    When vm2 is killed
    And vm3 is killed
    Then replacing vm3 by vm4 is refused

  Scenario: A link that goes silent is replaced
    Given a configured fleet of 3 VMs
    When existing links between all VMs go silent while new ones work
    Then a change is accepted through vm1
    And all VMs hold version 2

  Scenario: A leaving endpoint gets no new work
    Given a configured fleet of 3 VMs
    And engines engine-1 and engine-2
    When engine-1 leaves while answering
    Then its answer is complete
    And no VM sends engine-1 new work

  Scenario: A drained endpoint gets no new work until it is used again
    Given a configured fleet of 3 VMs
    And engines engine-1 and engine-2
    When engine-1 is drained
    Then no VM sends engine-1 new work
    When engine-1 is undrained
    Then every VM lists engine-1 as serving

  Scenario: A silent endpoint is asked before it is dropped
    Given a configured fleet of 2 VMs
    And an engine engine-1 that announces itself once
    Then engine-1 still serves after its announcement has expired
    When engine-1 is killed silently
    Then every VM drops engine-1

  Scenario: A restarted engine starts with an empty cache
    Given a configured fleet of 1 VMs
    And engines engine-1 and engine-2
    When an engine that holds a prompt is killed and starts again
    Then the next answer is complete and relies on no dead cache

  Scenario: VMs of other fleets and strangers are refused
    Given a configured fleet of 1 VMs
    When a stranger with another secret opens a link
    Then the link is refused and logged
