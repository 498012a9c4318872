package org.otterpond.control.primary;

import org.otterpond.control.state.Assignments;

/** The assignments as a service of the primary reads and writes them. */
interface AssignmentState {
  /** Returns all assignments, those whose commit is pending among them. */
  Assignments replicated();

  /** Returns the committed assignments: only these may be sent to other nodes. */
  Assignments committed();

  /** Returns the writer of assignments. */
  AssignmentWriter writer();
}
