package org.otterpond.messaging;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import org.otterpond.messaging.message.BeaconHeader;
import org.otterpond.messaging.message.GroupBeacon;
import org.otterpond.messaging.message.GroupBeaconReply;
import org.otterpond.messaging.message.GroupVersions;
import org.otterpond.replication.ConfigurationMessage;
import org.otterpond.replication.GroupConfiguration;

/**
 * The heartbeats between machines that share replica groups: one to each machine for all groups
 * that this one leads with a secondary there. The leases of the primaries rest on their
 * acknowledgements.
 */
final class GroupBeacons {
  private final PartitionReplica.Host host;
  private final IntFunction<PartitionReplica> partitions;
  private final Map<String, SentBeacon> sentByMember = new HashMap<>();

  /** The newest beacon with groups that each machine has sent. */
  private final Map<String, GroupBeacon> receivedByAddress = new HashMap<>();

  private long lastNumber;

  /** What one machine was last sent. */
  private static final class SentBeacon {
    final Map<Integer, Long> versions = new LinkedHashMap<>();
    final Map<Integer, Long> points = new LinkedHashMap<>();
    long number;
    boolean acknowledged;
  }

  /**
   * Creates the heartbeats of a machine.
   *
   * @param partitions returns the replica of a partition here, or null
   */
  GroupBeacons(PartitionReplica.Host host, IntFunction<PartitionReplica> partitions) {
    this.host = host;
    this.partitions = partitions;
  }

  /** Sends a beacon to each machine with a secondary of a group that this one leads. */
  void send(Collection<PartitionReplica> replicas) {
    Map<String, SentBeacon> byMember = new LinkedHashMap<>();
    for (PartitionReplica replica : replicas) {
      if (replica.primary()) {
        GroupConfiguration configuration = replica.group().view();
        for (String member : configuration.secondaries()) {
          SentBeacon beacon = byMember.computeIfAbsent(member, name -> new SentBeacon());
          beacon.versions.put(replica.id(), configuration.version());
          beacon.points.put(replica.id(), replica.group().committed());
        }
      }
    }
    sentByMember.keySet().retainAll(byMember.keySet());
    byMember.forEach(this::send);
  }

  private void send(String member, SentBeacon beacon) {
    SentBeacon last = sentByMember.put(member, beacon);
    boolean sameVersions =
        last != null && last.acknowledged && last.versions.equals(beacon.versions);
    beacon.number = sameVersions ? last.number : ++lastNumber;
    beacon.acknowledged = sameVersions;
    Map<Integer, Long> points = new LinkedHashMap<>(beacon.points);
    if (sameVersions) {
      points.entrySet().removeAll(last.points.entrySet());
    }
    GroupBeacon message =
        new GroupBeacon(
            new BeaconHeader(
                member, host.runtime().now(), beacon.number, host.agent().incarnation()),
            sameVersions ? null : new GroupVersions(host.member(), beacon.versions),
            points);
    host.runtime().send(GroupConfiguration.addressOf(member), message);
  }

  /** Acknowledges the beacon of a primary, except for groups whose configuration differs here. */
  void received(String from, GroupBeacon beacon) {
    if (!host.member().equals(beacon.header().to())) {
      return;
    }
    if (beacon.versions() != null) {
      receivedByAddress.put(from, beacon);
    }
    GroupBeacon withVersions = receivedByAddress.get(from);
    boolean known = withVersions != null && withVersions.header().sameVersions(beacon.header());
    List<Integer> rejected =
        known ? rejectedGroups(from, withVersions.versions(), beacon.committedPoints()) : List.of();
    host.runtime()
        .send(
            from,
            new GroupBeaconReply(
                beacon.header().sentAtMicros(),
                beacon.header().number(),
                host.member(),
                !known,
                rejected));
  }

  private List<Integer> rejectedGroups(
      String address, GroupVersions versions, Map<Integer, Long> points) {
    List<Integer> rejected = new ArrayList<>();
    versions
        .byGroup()
        .forEach(
            (group, version) -> {
              PartitionReplica replica = partitions.apply(group);
              long point = points.getOrDefault(group, 0L);
              boolean accepted =
                  replica != null && replica.group().beacon(versions.from(), version, point);
              if (!accepted) {
                rejected.add(group);
                sendNewerConfiguration(address, versions.from(), replica, version);
              }
            });
    return rejected;
  }

  private void sendNewerConfiguration(
      String address, String member, PartitionReplica replica, long version) {
    GroupConfiguration known = replica == null ? null : replica.group().view();
    if (known != null && known.version() > version) {
      host.runtime()
          .send(address, new ConfigurationMessage(replica.id(), known).toBeaconAnswer(member));
    }
  }

  /** Extends the leases of the groups for which a beacon was acknowledged. */
  void acknowledged(GroupBeaconReply reply) {
    SentBeacon beacon = sentByMember.get(reply.member());
    if (beacon == null || beacon.number != reply.number()) {
      return;
    }
    beacon.acknowledged = !reply.versionsUnknown();
    if (!beacon.acknowledged) {
      return;
    }
    beacon.versions.forEach(
        (group, version) -> {
          PartitionReplica replica = partitions.apply(group);
          if (replica != null && !reply.rejectedGroups().contains(group)) {
            replica
                .group()
                .onBeaconAcknowledged(reply.member(), version, reply.beaconSentAtMicros());
          }
        });
  }
}
