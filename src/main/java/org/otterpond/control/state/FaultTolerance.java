package org.otterpond.control.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The losses at one time that the core must survive with everything it acknowledged: a number of
 * machines, or of zones, or of regions. It chooses the members and backups accordingly. Immutable.
 *
 * @param machines number of machines
 * @param zones number of zones
 * @param regions number of regions
 * @param regionOf the region of each zone; zones without an entry count as one region, as nothing
 *     says that they are apart
 */
public record FaultTolerance(int machines, int zones, int regions, Map<String, String> regionOf) {
  /** More members make each epoch more expensive. */
  private static final int USUAL_MAX_MEMBERS = 9;

  private static final String UNKNOWN_REGION = "";

  /** Returns the tolerance of the loss of a number of machines, wherever they are. */
  public static FaultTolerance ofMachines(int machines) {
    return new FaultTolerance(machines, 0, 0, Map.of());
  }

  /** Returns the number of backups of an epoch: one for each machine, zone or region to lose. */
  public int backupCount() {
    return Math.max(machines, Math.max(zones, regions));
  }

  /** Returns the largest number of members; more would not tolerate further losses. */
  public int maxMembers() {
    return Math.max(USUAL_MAX_MEMBERS, 2 * backupCount() + 1);
  }

  private String region(CoreMember member) {
    return regionOf.getOrDefault(member.zone(), UNKNOWN_REGION);
  }

  /**
   * Returns how many zones and regions the group spans, each counted up to the number that no
   * tolerated loss takes completely.
   */
  public int spread(Collection<CoreMember> group) {
    long spannedZones = group.stream().map(CoreMember::zone).distinct().count();
    long spannedRegions = group.stream().map(this::region).distinct().count();
    return (int) (Math.min(zones + 1, spannedZones) + Math.min(regions + 1, spannedRegions));
  }

  /** Returns whether no tolerated loss of zones or regions takes the complete group. */
  public boolean spans(Collection<CoreMember> group) {
    return spread(group) == zones + regions + 2;
  }

  /**
   * Chooses backups one after another: first by the spread of the resulting group, then by {@code
   * preference}, then zones without a replica first.
   *
   * @param primary the primary of the group
   * @param candidates the members to choose from
   * @param preference orders the candidates, the preferred ones first
   * @param count the number of backups; fewer are returned if there are fewer candidates
   */
  public List<CoreMember> backups(
      CoreMember primary,
      List<CoreMember> candidates,
      Comparator<CoreMember> preference,
      int count) {
    List<CoreMember> group = new ArrayList<>(List.of(primary));
    List<CoreMember> remaining = new ArrayList<>(candidates);
    Comparator<CoreMember> order =
        Comparator.comparing((CoreMember candidate) -> -spread(with(group, candidate)))
            .thenComparing(preference)
            .thenComparing(candidate -> hasZone(group, candidate.zone()));
    while (group.size() <= count && !remaining.isEmpty()) {
      CoreMember next = remaining.stream().min(order).orElseThrow();
      group.add(next);
      remaining.remove(next);
    }
    return List.copyOf(group.subList(1, group.size()));
  }

  private static boolean hasZone(List<CoreMember> group, String zone) {
    return group.stream().anyMatch(member -> member.zone().equals(zone));
  }

  /**
   * Returns by how many members the worst tolerated loss leaves more than a majority; negative if
   * it leaves no majority.
   */
  public int margin(Collection<CoreMember> members) {
    int lostWithZones = largestGroups(members, CoreMember::zone, zones);
    int lostWithRegions = largestGroups(members, this::region, regions);
    int lost = Math.max(machines, Math.max(lostWithZones, lostWithRegions));
    int majority = members.size() / 2 + 1;
    return members.size() - lost - majority;
  }

  /** Returns the number of members in the {@code count} places that have most of them. */
  private static int largestGroups(
      Collection<CoreMember> members, Function<CoreMember, String> placeOf, int count) {
    Map<String, Long> membersByPlace =
        members.stream().collect(Collectors.groupingBy(placeOf, Collectors.counting()));
    return (int)
        membersByPlace.values().stream()
            .sorted(Comparator.reverseOrder())
            .limit(count)
            .mapToLong(Long::longValue)
            .sum();
  }

  /**
   * Chooses the members among the available machines: as many as allowed, unless fewer tolerate a
   * loss that more do not.
   */
  public List<CoreMember> members(List<CoreMember> available) {
    List<CoreMember> chosen = new ArrayList<>(available);
    while (chosen.size() > maxMembers()) {
      chosen.remove(leastNeeded(chosen));
    }
    List<CoreMember> best = List.copyOf(chosen);
    while (margin(best) < 0 && chosen.size() > 2 * machines + 1) {
      chosen.remove(leastNeeded(chosen));
      if (margin(chosen) > margin(best)) {
        best = List.copyOf(chosen);
      }
    }
    return best;
  }

  /** Returns the last of the members whose removal costs least margin, in the fullest zone. */
  private CoreMember leastNeeded(List<CoreMember> members) {
    Comparator<CoreMember> order =
        Comparator.comparing((CoreMember member) -> Math.min(0, margin(without(members, member))))
            .thenComparing(member -> countInZone(members, member.zone()))
            .thenComparing(members::indexOf);
    return members.stream().max(order).orElseThrow();
  }

  private static long countInZone(List<CoreMember> members, String zone) {
    return members.stream().filter(member -> member.zone().equals(zone)).count();
  }

  private static List<CoreMember> with(List<CoreMember> members, CoreMember added) {
    List<CoreMember> result = new ArrayList<>(members);
    result.add(added);
    return result;
  }

  private static List<CoreMember> without(List<CoreMember> members, CoreMember removed) {
    List<CoreMember> result = new ArrayList<>(members);
    result.remove(removed);
    return result;
  }
}
