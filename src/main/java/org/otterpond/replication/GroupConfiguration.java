package org.otterpond.replication;

import java.util.ArrayList;
import java.util.List;
import org.otterpond.protocol.WireRecord;

/**
 * The configuration of one replica group as the configuration manager installed it: a version, the
 * primary, the secondaries, and the members that the manager would have (no part of the version: it
 * only says whom to take in). A member is named by its disk and its address: a machine whose disk
 * was wiped is another member.
 */
public record GroupConfiguration(
    int group, long version, String primary, List<String> secondaries, List<String> wanted) {
  public static GroupConfiguration of(WireRecord f) {
    return new GroupConfiguration(
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

  public WireRecord toWireRecord(String kind) {
    return new WireRecord(kind)
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
  public GroupConfiguration next(String newPrimary, List<String> newSecondaries) {
    return new GroupConfiguration(
        group, version + 1, newPrimary, List.copyOf(newSecondaries), wanted);
  }

  public GroupConfiguration without(String member) {
    return next(primary, secondaries.stream().filter(s -> !s.equals(member)).toList());
  }

  public GroupConfiguration with(String member) {
    List<String> more = new ArrayList<>(secondaries);
    more.add(member);
    return next(primary, more);
  }

  public GroupConfiguration wanting(List<String> now) {
    return new GroupConfiguration(group, version, primary, secondaries, List.copyOf(now));
  }

  public boolean sameMembers(GroupConfiguration o) {
    return primary.equals(o.primary) && secondaries.equals(o.secondaries);
  }
}
