Feature: A request that crashes endpoints crashes at most two of the fleet

  Scenario: A caller resends the request through every VM
    Given a configured fleet of 3 VMs
    And engines engine-1, engine-2, engine-3 and engine-4
    When callers stream while a request crashes the engine they share
    And its caller immediately resends it through vm1, vm2, vm3, vm2 and vm1
    Then at least 2 engines are alive
    And the request is refused with request_crashes_endpoints
    And every concurrent stream is complete
    And other requests are served

  Scenario: Copies of the request arrive at the same time through all VMs
    Given a configured fleet of 3 VMs
    And engines engine-1, engine-2, engine-3 and engine-4
    When 6 copies of a request that crashes its engine arrive at the same time
    Then at least 2 engines are alive
    And other requests are served

  Scenario: Requests are served again after an unrelated crash of their engine
    Given a configured fleet of 2 VMs
    And engines engine-1 and engine-2
    When callers stream while the engine they share is killed
    Then every concurrent stream is complete
    And the same requests are served again through every VM
