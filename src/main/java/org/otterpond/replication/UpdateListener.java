package org.otterpond.replication;

/** Gets the outcome of one update of a replica group: exactly one of its methods is called once. */
public interface UpdateListener {
  /** For an update whose outcome nobody waits for. */
  UpdateListener NONE =
      new UpdateListener() {
        @Override
        public void committed() {}

        @Override
        public void rejected() {}

        @Override
        public void undecided() {}
      };

  /** All replicas have the update, and it has been applied. */
  void committed();

  /** The update was not prepared and never will be. */
  void rejected();

  /** The update was prepared when this replica's role ended: the next primary may commit it. */
  void undecided();
}
