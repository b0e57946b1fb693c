Feature: The lease for orders to engines when the store comes back from a copy

  Background:
    Given 5 engines on version 1 and the nodes "n1, n2, n3"
    And an engine loads in 1.5 seconds

  # Guards against two holders with one fencing number, or a lower number after a higher
  # one, when the lease row that counted them is older or gone.
  Scenario Outline: Fencing numbers rise when the store comes back from a copy
    When the store is copied with <lease> lease row
    And version 2 is named and the first order is sent
    And the lease holder is cut off from the store
    And 15 seconds pass in the cluster
    And version 3 is named and the first order is sent
    And the store comes back from the copy
    And the lease holder ends
    And 30 seconds pass in the cluster
    Then no fencing number is below one before, and none belongs to two nodes
    And every engine has loaded version 3

    Examples:
      | lease |
      | no    |
      | free  |
      | held  |
