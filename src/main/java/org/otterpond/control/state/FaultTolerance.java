package org.otterpond.control.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * What may be lost at once with the core at work and all that it acknowledged kept: so many
 * machines, or so many zones, or so many regions. It says how copies and members must be spread for
 * that.
 *
 * @param regionOf the region of each zone; zones that it lacks count as one region, as nothing says
 *     that they are two
 */
public record FaultTolerance(int machines, int zones, int regions, Map<String, String> regionOf) {
  private static final int MOST_MEMBERS = 9;

  public static FaultTolerance ofMachines(int machines) {
    return new FaultTolerance(machines, 0, 0, Map.of());
  }

  /** How many backups an epoch has: each lost machine, zone or region may take one copy. */
  public int copies() {
    return Math.max(machines, Math.max(zones, regions));
  }

  /** More members make each epoch dearer and bear nothing more than these do. */
  public int mostMembers() {
    return Math.max(MOST_MEMBERS, 2 * copies() + 1);
  }

  private String region(CoreMember b) {
    return regionOf.getOrDefault(b.zone(), "");
  }

  /**
   * Grows with what the group spans, and no more once no loss that is to be borne takes all of it.
   */
  public int spread(Collection<CoreMember> group) {
    return (int)
        (Math.min(zones + 1, group.stream().map(CoreMember::zone).distinct().count())
            + Math.min(regions + 1, group.stream().map(this::region).distinct().count()));
  }

  public boolean spans(Collection<CoreMember> group) {
    return spread(group) == zones + regions + 2;
  }

  /**
   * Takes backups from the candidates. What the group spans counts first, then a candidate's place;
   * of those that may change places, the one of a zone that has no copy yet.
   */
  public List<CoreMember> backups(
      CoreMember primary, List<CoreMember> candidates, Comparator<CoreMember> place, int count) {
    List<CoreMember> group = new ArrayList<>(List.of(primary));
    List<CoreMember> left = new ArrayList<>(candidates);
    while (group.size() <= count && !left.isEmpty()) {
      CoreMember next =
          left.stream()
              .min(
                  Comparator.comparing((CoreMember b) -> -spread(with(group, b)))
                      .thenComparing(place)
                      .thenComparing(b -> group.stream().anyMatch(g -> g.zone().equals(b.zone()))))
              .orElseThrow();
      group.add(next);
      left.remove(next);
    }
    return List.copyOf(group.subList(1, group.size()));
  }

  /**
   * By how many members the worst loss to be borne leaves more than a majority; below 0 it leaves
   * none.
   */
  public int margin(Collection<CoreMember> members) {
    int lost =
        Math.max(
            machines,
            Math.max(
                largest(members, CoreMember::zone, zones),
                largest(members, this::region, regions)));
    return members.size() - lost - (members.size() / 2 + 1);
  }

  private static int largest(
      Collection<CoreMember> members, Function<CoreMember, String> place, int count) {
    return (int)
        members.stream()
            .collect(Collectors.groupingBy(place, Collectors.counting()))
            .values()
            .stream()
            .sorted(Comparator.reverseOrder())
            .limit(count)
            .mapToLong(Long::longValue)
            .sum();
  }

  /**
   * The members that these machines make best: as many as may be, unless fewer bear a loss that
   * more do not.
   */
  public List<CoreMember> members(List<CoreMember> machinesThere) {
    List<CoreMember> in = new ArrayList<>(machinesThere);
    while (in.size() > mostMembers()) {
      in.remove(mostCrowded(in));
    }
    List<CoreMember> best = List.copyOf(in);
    while (margin(best) < 0 && in.size() > 2 * machines + 1) {
      in.remove(mostCrowded(in));
      if (margin(in) > margin(best)) {
        best = List.copyOf(in);
      }
    }
    return best;
  }

  /** Whom the others miss least: the last of those whose zone has most members. */
  private CoreMember mostCrowded(List<CoreMember> members) {
    return members.stream()
        .max(
            Comparator.comparing((CoreMember b) -> Math.min(0, margin(without(members, b))))
                .thenComparing(b -> members.stream().filter(m -> m.zone().equals(b.zone())).count())
                .thenComparing(members::indexOf))
        .orElseThrow();
  }

  private static List<CoreMember> with(List<CoreMember> some, CoreMember b) {
    List<CoreMember> out = new ArrayList<>(some);
    out.add(b);
    return out;
  }

  private static List<CoreMember> without(List<CoreMember> some, CoreMember b) {
    List<CoreMember> out = new ArrayList<>(some);
    out.remove(b);
    return out;
  }
}
