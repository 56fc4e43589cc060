Feature: Several faults at once
  Any faults may occur at any moment, also at the same time or repeatedly.

  Scenario: The leader is killed while a VM is cut off
    Given a configured fleet of 5 VMs
    And engines engine-1
    And an order service
    When the links between vm5 and vm1, vm2, vm3, vm4 are cut
    And the leader is killed
    And the document is changed through the majority
    Then vm5 still answers callers and accepts no change
    And an order through vm5 is refused with the outcome not-run
    When the links are healed
    And the killed VM starts again
    Then all VMs hold version 2
    And the order succeeds through vm5 and its run count is 1

  Scenario: A key is withdrawn while all VMs restart at once
    Given a configured fleet of 3 VMs
    And engines engine-1
    When a key is withdrawn through vm1 while vm3 is down
    And all VMs are killed and start again at once
    Then every VM refuses the withdrawn key and keeps refusing it
    And the key that was not withdrawn works on every VM

  Scenario: An engine is killed during a request that crashes engines
    Given a configured fleet of 3 VMs
    And engines engine-1, engine-2, engine-3, engine-4 and engine-5
    When callers stream through all VMs
    And one engine is killed while two VMs get a request that crashes engines
    Then at least 2 engines are alive
    And every concurrent stream is complete
    And other requests are served

  Scenario: A VM restarts while prefixes are spread over the engines
    Given a configured fleet of 3 VMs
    And engines engine-1, engine-2, engine-3 and engine-4
    When prompts with 8 different prefixes are sent through all VMs
    And vm2 is killed
    And vm2 starts again
    Then vm2 sends every prefix to an engine that has it cached

  Scenario: All VMs restart at once while prefixes are spread over the engines
    Given a configured fleet in bole kirkos arada without disk on vm3
    And engines engine-1, engine-2, engine-3 and engine-4
    When prompts with 8 different prefixes are sent through all VMs
    And vm1 and vm2 have saved their prefix cache index
    And all VMs are killed and start again at once
    Then vm1 sends every prefix to an engine that has it cached
    And vm3 sends every prefix to an engine that has it cached
