Feature: Faults that come together
  Any of the faults may come at any moment, together or twice.

  Scenario: The leader is killed while a VM is cut off
    Given a configured fleet of 5 VMs
    And engines engine-1
    And an order service
    When the links between vm5 and vm1, vm2, vm3, vm4 are cut
    And the leader is killed
    And the document is changed through the majority
    Then vm5 still answers callers and accepts no change
    And an order through vm5 is refused as not run
    When the links are healed
    And the killed VM starts again
    Then all VMs hold version 2
    And the order succeeds through vm5 and ran 1 times

  Scenario: A key is withdrawn while a fleet restarts as a herd
    Given a configured fleet of 3 VMs
    And engines engine-1
    When a key is withdrawn through vm1 while vm3 is down
    And all VMs are killed and start again at once
    Then the withdrawn key is refused by every VM and stays so
    And the other key works on every VM

  Scenario: An engine crashes by itself beside a request that crashes engines
    Given a configured fleet of 3 VMs
    And engines engine-1, engine-2, engine-3, engine-4 and engine-5
    When callers stream on all VMs
    And one engine is killed while a poison request comes through two VMs
    Then at least 2 engines are alive
    And every stream beside it is whole
    And other requests are served

  Scenario: A VM restarts while prefixes are spread over the engines
    Given a configured fleet of 3 VMs
    And engines engine-1, engine-2, engine-3 and engine-4
    When 8 prefixes are asked for through all VMs
    And vm2 is killed
    And vm2 starts again
    Then vm2 finds every prefix in a cache

  Scenario: All VMs restart at once while prefixes are spread over the engines
    Given a configured fleet in bole kirkos arada without disk on vm3
    And engines engine-1, engine-2, engine-3 and engine-4
    When 8 prefixes are asked for through all VMs
    And the placements are kept on disk
    And all VMs are killed and start again at once
    Then vm1 finds every prefix in a cache
    And vm3 finds every prefix in a cache
