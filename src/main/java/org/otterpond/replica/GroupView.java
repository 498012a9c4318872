package org.otterpond.replica;

import java.util.ArrayList;
import java.util.List;
import org.otterpond.signal.Flag;

/**
 * The configuration of one replica group as the configuration manager installed it: a version, the
 * primary, the secondaries, and the members that the manager would have (no part of the version: it
 * only says whom to take in). A member is named by its disk and its address: a machine whose disk
 * was wiped is another member.
 */
public record GroupView(
    int group, long version, String primary, List<String> secondaries, List<String> wanted) {
  public static GroupView of(Flag f) {
    return new GroupView(
        (int) f.number("group"),
        f.number("version"),
        f.text("primary"),
        texts(f.list("secondaries")),
        texts(f.list("wanted")));
  }

  private static List<String> texts(List<Object> list) {
    List<String> out = new ArrayList<>();
    list.forEach(o -> out.add((String) o));
    return List.copyOf(out);
  }

  public Flag toFlag(String kind) {
    return new Flag(kind)
        .with("group", group)
        .with("version", version)
        .with("primary", primary)
        .with("secondaries", secondaries)
        .with("wanted", wanted);
  }

  public static String member(String disk, String address) {
    return disk + "@" + address;
  }

  public static String addressOf(String member) {
    return member.substring(member.indexOf('@') + 1);
  }

  public List<String> members() {
    List<String> out = new ArrayList<>();
    out.add(primary);
    out.addAll(secondaries);
    return out;
  }

  public boolean has(String member) {
    return primary.equals(member) || secondaries.contains(member);
  }

  /** The next version with another primary and other secondaries. */
  public GroupView next(String newPrimary, List<String> newSecondaries) {
    return new GroupView(group, version + 1, newPrimary, List.copyOf(newSecondaries), wanted);
  }

  public GroupView without(String member) {
    return next(primary, secondaries.stream().filter(s -> !s.equals(member)).toList());
  }

  public GroupView with(String member) {
    List<String> more = new ArrayList<>(secondaries);
    more.add(member);
    return next(primary, more);
  }

  public GroupView wanting(List<String> now) {
    return new GroupView(group, version, primary, secondaries, List.copyOf(now));
  }

  public boolean sameMembers(GroupView o) {
    return primary.equals(o.primary) && secondaries.equals(o.secondaries);
  }
}
