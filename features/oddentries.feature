Feature: Rows that another program wrote, on the users' platform
  Another program may write an entry among those of the servers, or into a table that the
  nodes share, that can't be used. It names no server; everything else holds.

  Background:
    Given a store, 2 servers and the node "n1"

  Scenario Outline: A node serves and follows the servers beside an odd entry
    # Guards against a node that ends, or stops following the servers, because of one
    # entry, also after a restart.
    When another program writes the entry "odd" of a server <entry>
    And the operator names version 2 of the model
    Then "n1" orders the servers "i-1, i-2" to load weights
    And "n1" serves requests and notices a server that is added and removed
    And "n1" has counted the odd row as "<counter>" and logged "<event>"
    When the node "n1" is killed
    And the node "n1" starts again
    Then "n1" serves requests and notices a server that is added and removed

    Examples:
      | entry                                  | counter                     | event                |
      | with the address "127.0.0.1:99999"     | rows_refused_total          | server_entry_refused |
      | with the address "999.0.0.1:80"        | rows_refused_total          | server_entry_refused |
      | with the slots (4000 digits)           | rows_refused_total          | server_entry_refused |
      | with the born (4000 digits)            | rows_refused_total          | server_entry_refused |
      | with the models [{"name": "m", "version": (4000 digits)}] | rows_refused_total | server_entry_refused |
      | without version, coldRemainingMs, seq, born | rows_refused_total     | server_entry_refused |
      | as bytes nested too deeply             | rows_refused_total          | server_entry_refused |
      | as bytes that aren't text              | rows_refused_total          | server_entry_refused |
      | under an id that doesn't fit a header  | rows_refused_total          | server_entry_refused |
      | in a row without a key                 | store_rows_unreadable_total | store_row_unreadable |
      | in a row whose key is a lone surrogate | store_rows_unreadable_total | store_row_unreadable |
      | in a row whose value isn't base64      | store_rows_unreadable_total | store_row_unreadable |
      | in a row whose version is infinite     | store_rows_unreadable_total | store_row_unreadable |

  Scenario Outline: A node serves beside an odd row of the tables that nodes share
    # Guards against a node that ends because its own row, that of another member or a
    # crash report was overwritten.
    When another program writes the row "<key>" of "<table>" as <value>
    And 7 seconds pass for "n1"
    Then "n1" serves requests and notices a server that is added and removed

    Examples:
      | table                | key       | value                                |
      | apricotlift          | member/n1 | []                                   |
      | apricotlift          | member/n1 | {"renewal": {"N": "x"}}              |
      | apricotlift          | member/n9 | {"incarnation": {"S": 1}}            |
      | apricotlift-suspects | odd       | {"content": {"S": "{}"}}             |
      | op                   | version/m | {"model": "m", "version": 1e400}     |
