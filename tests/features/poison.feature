Feature: A request that crashes endpoints costs the fleet at most two

  Scenario: A caller sends it again and again through every VM
    Given a configured fleet of 3 VMs
    And engines engine-1, engine-2, engine-3 and engine-4
    When callers stream beside a request that crashes its engine
    And its caller sends it again at once through vm1, vm2, vm3, vm2 and vm1
    Then at least 2 engines are alive
    And the request is refused with request_crashes_endpoints
    And every stream beside it is whole
    And other requests are served

  Scenario: Copies of it come at once through all VMs
    Given a configured fleet of 3 VMs
    And engines engine-1, engine-2, engine-3 and engine-4
    When 6 copies of a request that crashes its engine come at once
    Then at least 2 engines are alive
    And other requests are served

  Scenario: An engine that crashes by itself leaves no lasting suspicion
    Given a configured fleet of 2 VMs
    And engines engine-1 and engine-2
    When callers stream while the engine they share is killed
    Then every stream beside it is whole
    And the same requests are served again through every VM
