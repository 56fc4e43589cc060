Feature: A request runs only for the customer whose key it carries

  Scenario: Requests are authenticated by key, and no endpoint sees the key
    Given a configured fleet of 2 VMs
    And engines engine-1
    And an order service
    When requests with every kind of credential are sent
    Then each response depends on the credential alone
    And no endpoint and no log has seen a key
    And callers' customer and hop-by-hop headers were dropped

  Scenario: A withdrawn key stops working on kept-alive connections and streams
    Given a configured fleet of 3 VMs
    And engines engine-1
    When a key is withdrawn while a caller streams and another keeps its connection
    Then the stream ends with an error event
    And the request on the kept connection is refused
    And every data centre has confirmed the withdrawal

  Scenario: A withdrawal needs no quorum and survives a restart
    Given a configured fleet of 3 VMs
    And engines engine-1
    When the links between vm1 and vm2, vm3 are cut
    And the key is withdrawn through vm1
    Then vm1 refuses the key
    And vm2 accepts the key
    When vm1 is killed
    And vm1 starts again
    Then vm1 refuses the key
    When the links are healed
    Then vm2 refuses the key
    And vm3 refuses the key
    And the withdrawal is committed

  Scenario: A disconnected VM refuses keys after the offline grace
    Given a fleet whose customers have an offline grace of 2 s
    And engines engine-1
    When the links between vm1 and vm2, vm3 are cut
    Then vm1 refuses the key with offline_grace_expired
    And vm2 accepts the key
    When the links are healed
    Then vm1 accepts the key
