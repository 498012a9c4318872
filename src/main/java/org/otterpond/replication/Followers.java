package org.otterpond.replication;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/** The secondaries and candidates of a primary by member name. */
final class Followers {
  private final Map<String, Follower> byMember = new HashMap<>();

  /** Returns the follower of that name, or null. */
  Follower get(String member) {
    return byMember.get(member);
  }

  void put(String member, Follower follower) {
    byMember.put(member, follower);
  }

  void remove(String member) {
    byMember.remove(member);
  }

  void clear() {
    byMember.clear();
  }

  void forEach(BiConsumer<String, Follower> action) {
    byMember.forEach(action);
  }

  /** Returns a copy of the table. */
  Map<String, Follower> snapshot() {
    return new HashMap<>(byMember);
  }

  /** Removes the candidates with that name that no unanswered proposal may have made members. */
  void removeCandidates(Predicate<String> nameFilter) {
    byMember
        .entrySet()
        .removeIf(
            entry ->
                entry.getValue().isCandidate()
                    && !entry.getValue().mayBeMember
                    && nameFilter.test(entry.getKey()));
  }

  @Override
  public String toString() {
    return byMember.toString();
  }
}
