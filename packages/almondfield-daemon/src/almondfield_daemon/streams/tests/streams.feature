Feature: Each router finds where a stream began

  Background:
    Given control hosts c1 to c5, routers r1 and r2, and servers of versions "v1" and "v2"

  Scenario: Another router finds the origin of a stream
    When stream "a" begins at "v2" at router r1
    Then router r2 finds that stream "a" began at "v2"

  Scenario: The first event decides, not a later attempt
    When stream "a" begins at "v2" at router r1
    And stream "a" begins at "v1" at router r2
    Then router r1 finds that stream "a" began at "v2"

  # Guards against streams that nobody knows once the router that began them is killed.
  Scenario: The origin outlasts both routers
    When stream "a" begins at "v1" at router r1
    And 0.1 s pass
    And router r1 is killed
    And router r2 restarts
    Then router r2 finds that stream "a" began at "v1"

  Scenario Outline: The origin outlasts the loss of a control host
    When stream "a" begins at "v1" at router r1
    And 0.1 s pass
    And control hosts "<lost>" restart
    And router r1 is killed
    Then router r2 finds that stream "a" began at "v1"

    Examples:
      | lost |
      | c1   |
      | c2   |
      | c3   |
      | c4   |
      | c5   |

  # Guards against reports that take processor time from the scheduler of engines.
  Scenario: The leader gets no reports while others can keep the origins
    When 20 streams begin at "v1" at router r1
    Then 2 control hosts keep each of them, and never c3

  Scenario: A router reports its streams again to control hosts that restarted
    When stream "a" begins at "v1" at router r1
    And 0.1 s pass
    And control hosts "c1 c2 c3 c4 c5" restart
    And 2.5 s pass
    Then router r2 finds that stream "a" began at "v1"

  Scenario: A router that was cut off reports its streams once it is back
    When router r1 is cut off
    And stream "a" begins at "v1" at router r1
    And 1.0 s pass
    Then router r2 doesn't know where stream "a" began
    And router r1 finds that stream "a" began at "v1"
    When the cut heals
    And 6.0 s pass
    Then router r2 finds that stream "a" began at "v1"

  # Guards against callers that wait for control hosts that can't answer.
  Scenario: A router that is cut off answers at once that it doesn't know
    When stream "a" begins at "v1" at router r1
    And router r2 is cut off
    Then router r2 doesn't know where stream "a" began, after at most 0.5 s
    When 4.0 s pass
    Then router r2 doesn't know where stream "a" began, after at most 0.0 s

  Scenario Outline: A stream of unknown origin began at the only version that served lately
    When all servers of "v2" leave
    And <seconds> s pass
    Then router r2 <outcome>

    Examples:
      | seconds | outcome                                     |
      | 10.0    | doesn't know where stream "x" began         |
      | 30.0    | finds that stream "x" began at "v1"         |
      | 30.0    | finds that stream "" began at "v1"          |

  # Guards against a guess by hosts that can't have heard of a version that left.
  Scenario: Hosts that have just started can't tell the version of an unknown stream
    When all servers of "v2" leave
    And 30.0 s pass
    And control hosts "c1 c2 c3 c4 c5" restart
    And router r2 restarts
    Then router r2 doesn't know where stream "x" began

  Scenario: A minority of the control group can't tell the version of an unknown stream
    When all servers of "v2" leave
    And 30.0 s pass
    And router r2 is cut off from "c1 c2 c3"
    Then router r2 doesn't know where stream "x" began

  # Guards against a version that the router or a control host missed during a cut.
  Scenario: One host that knows of another version is enough for doubt
    When all servers of "v2" leave
    And 30.0 s pass
    And router r2 is cut off from "c5"
    And control hosts "c5" are cut off from the others
    And a server of "v3" is announced to "c4"
    Then router r2 doesn't know where stream "x" began

  # Guards against a server that restarts under its name with another version, unannounced.
  Scenario Outline: A late announcement of a restart makes origins doubtful
    When stream "a" begins at "v1" at router r1
    And <seconds> s pass
    And the server of "v1" is announced with a later start and version "v3"
    And 0.1 s pass
    Then router <router> <outcome>

    Examples:
      | seconds | router | outcome                             |
      | 2.0     | r1     | doesn't know where stream "a" began |
      | 2.0     | r2     | doesn't know where stream "a" began |
      | 6.0     | r2     | finds that stream "a" began at "v1" |

  # Guards against a late report that brings a doubtful origin back, as its router hears of
  # the restart after the control hosts did.
  Scenario: A report that comes after the announcement of a restart isn't kept
    When router r1 is cut off from "c1"
    And the server of "v1" is announced with a later start and version "v3"
    And 0.05 s pass
    And stream "a" begins at "v1" at router r1
    And router r1 is killed
    Then router r2 doesn't know where stream "a" began

  # Guards against a control host that missed a restart and still answers with its origins.
  Scenario: A router that knows of a restart doesn't trust a control host that doesn't
    When 20 streams begin at "v1" at router r1
    And control hosts "c5" are cut off from the others
    And the server of "v1" is announced with a later start and version "v3"
    And 0.05 s pass
    And router r1 is killed
    Then router r2 doesn't know where any of these 20 streams began

  # Guards against a control host that distrusts a router which heard of a restart earlier.
  Scenario: An origin that names a later start of its server than the control host knows is kept
    When control hosts "c5" are cut off from the others
    And the server of "v1" is announced with a later start and version "v3"
    And 0.05 s pass
    And 20 streams begin at the restarted server of "v1" at router r1
    Then 2 control hosts keep each of them, and never c3

  # Guards against an origin that expires between the tries of a caller without a deadline.
  Scenario: An origin is kept longer when its stream is taken up
    When stream "a" begins at "v1" at router r1
    And 10.0 s pass
    And stream "a" begins at "v1" at router r2
    And router r2 restarts
    And 8.0 s pass
    Then router r2 finds that stream "a" began at "v1"

  # Guards against a version that the router missed, and all control hosts forgot.
  Scenario: A version that came and left while the router was cut off leaves doubt
    When all servers of "v2" leave
    And 30.0 s pass
    And router r2 is cut off
    And a server of "v3" is announced to "c1"
    And stream "a" begins at "v3" at router r1
    And all servers of "v3" leave
    And router r1 is killed
    And control hosts "c1 c2 c3 c4 c5" restart
    And the cut heals
    And 1.5 s pass
    Then router r2 doesn't know where stream "a" began

  # Guards against a version that the only old control host missed, and the others forgot.
  Scenario: A version that came and left while a control host was cut off leaves doubt
    When all servers of "v2" leave
    And 30.0 s pass
    And control hosts "c5" are cut off from the others
    And router r1 is cut off from "c5"
    And a server of "v3" is announced to "c1"
    And stream "a" begins at "v3" at router r1
    And all servers of "v3" leave
    And router r1 is killed
    And control hosts "c1 c2 c3 c4" restart
    And router r2 restarts
    Then router r2 doesn't know where stream "a" began

  # Guards against a version that a single control host knows, as it is cut off from the others.
  Scenario Outline: A control host that is out of step leaves doubt
    When all servers of "v2" leave
    And 30.0 s pass
    And control hosts "c1" are cut off from the others
    And router r1 is cut off from "c2 c3 c4 c5"
    And <cut>
    And a server of "v3" is announced to "c1"
    And stream "a" begins at "v3" at router r1
    And router r1 is killed
    And <seconds> s pass
    Then router r2 doesn't know where stream "a" began

    Examples:
      | cut                             | seconds |
      | router r2 is cut off from "c1"  | 0.1     |
      | router r2 is cut off from "c1"  | 5.0     |
      | "c1" is not heard by r2         | 0.1     |
      | "c1" does not hear r2           | 0.1     |

  # Guards against a version that only a control host knew which was cut off and then restarted.
  Scenario: A control host that was out of step and then restarted leaves doubt
    When all servers of "v2" leave
    And 30.0 s pass
    And control hosts "c1" are cut off from the others
    And router r1 is cut off from "c2 c3 c4 c5"
    And router r2 is cut off from "c1"
    And a server of "v3" is announced to "c1"
    And stream "a" begins at "v3" at router r1
    And all servers of "v3" leave
    And router r1 is killed
    And control hosts "c1" restart
    And the cut heals
    And 1.5 s pass
    Then router r2 doesn't know where stream "a" began

  # Guards against the same for callers that name no attempt, beside a cut control host.
  Scenario: A control host that is out of step leaves doubt about unnamed streams
    When all servers of "v2" leave
    And 30.0 s pass
    And control hosts "c1" are cut off from the others
    And router r1 is cut off from "c2 c3 c4 c5"
    And router r2 is cut off from "c1"
    And a server of "v3" is announced to "c1"
    And stream "a" begins at "v3" at router r1
    And router r1 is killed
    Then router r2 doesn't know where stream "" began

  # Guards against a version that is guessed as messages pass in one direction only.
  Scenario Outline: A router that is cut one way leaves doubt, or the origin is found
    When all servers of "v2" leave
    And 30.0 s pass
    And <cut>
    And a server of "v3" is announced to "c1"
    And stream "a" begins at "v3" at router r1
    And router r1 is killed
    And <seconds> s pass
    Then router r2 <outcome>

    Examples:
      | cut                                   | seconds | outcome                             |
      | no control host hears r1              | 0.1     | doesn't know where stream "a" began |
      | no control host is heard by r1        | 0.1     | finds that stream "a" began at "v3" |
      | no control host hears r2              | 0.1     | doesn't know where stream "a" began |
      | no control host hears r2              | 5.0     | doesn't know where stream "a" began |
      | no control host is heard by r2        | 0.1     | doesn't know where stream "a" began |
      | no control host is heard by r2        | 5.0     | doesn't know where stream "a" began |

  Scenario: A router that wasn't heard reports its streams once it is
    When no control host hears r1
    And stream "a" begins at "v2" at router r1
    And 1.0 s pass
    Then router r2 doesn't know where stream "a" began
    When the cut heals
    And 2.5 s pass
    Then router r2 finds that stream "a" began at "v2"

  # Guards against take-ups that are refused though their version is certain.
  Scenario: A majority of control hosts that have been up tells the only version
    When all servers of "v2" leave
    And 30.0 s pass
    And control hosts "c1 c2" restart
    And router r2 restarts
    Then router r2 finds that stream "x" began at "v1"

  # Guards against a version that left before the history begins, but began the stream.
  Scenario Outline: The history looks back as far as a stream may have begun
    When all servers of "v2" leave
    And <seconds> s pass
    Then router r2 <outcome> the unknown stream of a <timeout> s route after <waited> s

    Examples:
      | seconds | timeout | waited | outcome              |
      | 30.0    | 5.0     | 0.0    | takes up at "v1"     |
      | 30.0    | 25.0    | 0.0    | refuses to take up   |
      | 60.0    | 25.0    | 0.0    | takes up at "v1"     |
      | 30.0    | 5.0     | 35.0   | refuses to take up   |
      | 200.0   | 100.0   | 0.0    | refuses to take up   |

  Scenario: An origin is dropped once its caller has given up
    When stream "a" begins at "v1" at router r1
    And 18.0 s pass
    Then router r2 doesn't know where stream "a" began

  Scenario: At 500 streams a second the table is bounded
    Then 60000 origins in 20.0 s leave the newest 30000

  # Guards against events of two versions beside a router that is cut off: it hears neither
  # of a restart under the same name nor of silent servers.
  Scenario Outline: A router that is cut off goes on with no stream at servers it hears nothing of
    When router r2 is cut off
    And the server of "v1" is announced with a later start and version "v3"
    And <seconds> s pass
    Then router r2 uses no server for streams of version "v1"

    Examples:
      | seconds |
      | 5.0     |
      | 10.0    |

  # Guards against streams that end though a control host tells which servers restarted.
  Scenario Outline: A router in touch goes on with streams at servers of their version
    When control hosts "<lost>" are cut off from the others
    And router r2 is cut off from "<lost>"
    And 10.0 s pass
    Then router r2 uses server "s-v1" for streams of version "v1"

    Examples:
      | lost        |
      | c2          |
      | c2 c3 c4 c5 |

  Scenario: A router goes on with streams once it is in touch again
    When router r2 is cut off
    And 10.0 s pass
    Then router r2 uses no server for streams of version "v1"
    When the cut heals
    And 2.5 s pass
    Then router r2 uses server "s-v1" for streams of version "v1"
