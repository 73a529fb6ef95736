Feature: A signal to stop reaches all that has to know of it

  # Guards against LOST: an error in one part as the signal came left the process running,
  # as ready for callers, until its kill.
  Scenario: A process stops though a part that is told of the signal fails
    Given a signal to stop, of which a part that fails and a sound one are told
    When the signal comes
    Then a task that waits for it goes on
    And the sound part was told once
    And the failure was logged

  # Guards against a daemon that waits without end: a signal that had come before it began
  # to listen for it gave it no end of its grace period.
  Scenario: A part that begins to listen after the signal is told at once
    Given a signal to stop that has come
    When a part begins to listen for it
    Then the sound part was told once

  # Guards against a grace period that begins anew with a second signal.
  Scenario: A second signal changes nothing
    Given a signal to stop, of which a part that fails and a sound one are told
    When the signal comes
    And the signal comes again 1 s later
    Then the sound part was told once

  # Guards against LOST: another thread took the signal of a paused process, and woke the
  # loop some iterations after the pause, which was taken for the time of the signal.
  Scenario: The time of a signal that another thread hands over lies before the pause
    Given an event loop that was paused for 1 s, and ran some short iterations since
    Then the earliest time of a signal that it finds now lies before the pause
