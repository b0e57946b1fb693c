Feature: The cluster secret when the store comes back from a copy

  # Guards against nodes that start after the restore, create another secret and can't
  # speak with the running ones.
  Scenario: A missing secret is written again
    Given two nodes that share a secret
    When the secret is missing from the restored store
    Then the store has the nodes' secret

  # Guards against running nodes that can't speak with those that start, and refuse each
  # other while only one of them has adopted the other secret.
  Scenario: Another secret in the restored store is adopted
    Given two nodes that share a secret
    When the restored store has another secret, and first one node adopts it
    Then the node with the earlier secret can call the other one
    When the other node adopts it too
    Then the nodes and a node that starts can call one another
