Feature: An accepted document is in force on every VM and is never reverted

  Scenario: Only one of several concurrent changes of a version is accepted
    Given a configured fleet of 3 VMs
    When 6 operators replace the same version by different documents at once
    Then exactly 1 change is accepted
    And the other operators get a version conflict
    And all VMs hold version 2

  Scenario: A retried operation gets the result of the first one
    Given a configured fleet of 3 VMs
    When an operator sends one operation through two VMs
    Then both answers are the same
    And all VMs hold version 2

  Scenario: Only the expected document is promoted
    Given a configured fleet of 3 VMs
    When a document is applied in trial
    And the document in trial is changed before it is promoted
    Then the promotion is refused with version_conflict
    When the document in trial is promoted
    Then all VMs hold version 2

  Scenario: Changes are accepted after the leader is killed
    Given a configured fleet of 3 VMs
    When the leader is killed
    And the document is changed through any VM
    Then the live VMs hold version 2
    When the killed VM starts again
    Then all VMs hold version 2

  Scenario: A minority accepts no change and catches up without an election
    Given a configured fleet of 5 VMs
    When the links between vm4, vm5 and vm1, vm2, vm3 are cut
    And the document is changed through vm1
    Then a change through vm4 is not accepted
    And vm4 and vm5 still hold version 1
    When the term is recorded
    And the links are healed
    Then all VMs hold version 2
    And the term has not changed

  Scenario: VMs without a disk serve after a restart in a cut-off data centre
    Given a configured fleet in bole kirkos arada yeka yeka without disk on vm4 and vm5
    And engines engine-1
    When the links between vm4, vm5 and vm1, vm2, vm3 are cut
    And vm5 is killed
    And vm5 starts again
    Then vm5 serves with version 1

  Scenario: All VMs restart at once after many changes
    Given a configured fleet in bole kirkos arada bole kirkos without disk on vm4 and vm5
    When the document is changed 30 times
    And all VMs are killed and start again at once
    Then all VMs hold version 31

  Scenario: An unreachable leader is replaced
    Given a configured fleet of 3 VMs
    When all links of the leader stop delivering data
    Then another VM leads
    And the document is changed through the others
    When the links are healed
    Then all VMs hold version 2

  Scenario: A frozen leader is replaced and reverts nothing when it resumes
    Given a configured fleet of 3 VMs
    When the leader is frozen
    Then another VM leads
    And the document is changed through the others
    When the leader is resumed
    Then all VMs hold version 2
    And the log of no VM shows two leaders in one term

  Scenario: VMs restart and serve in a data centre that is cut off
    Given a configured fleet in bole bole kirkos kirkos arada without disk on vm2 and vm4
    And engines engine-1
    When the links between vm1, vm2 and vm3, vm4, vm5 are cut
    And vm1 is killed
    And vm2 is killed
    And vm1 starts again
    And vm2 starts again
    Then vm1 serves with version 1
    And vm2 serves with version 1
