package org.otterpond.replication;

/** The role of a replica that the configuration does not name and that nobody copies to. */
final class NonMemberRole implements ReplicaRole {
  @Override
  public String toString() {
    return "non-member";
  }
}
