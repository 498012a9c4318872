package org.otterpond.config;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The validated settings file of one process. Immutable.
 *
 * <p>Components are grouped by what they concern; the accessors below give single settings by name.
 *
 * @param node identity and addresses
 * @param process role, resources and log of the process
 * @param timers times of workers, keys and messages
 * @param retries the retry budget
 * @param quota bounds on the quota that nodes share
 * @param revocation bounds on the use of revoked access keys
 * @param slowStart bounds on what workers in slow start get
 * @param faultTolerance the losses to tolerate
 */
public record NodeSettings(
    Node node,
    ProcessSettings process,
    Timers timers,
    Retries retries,
    Quota quota,
    Revocation revocation,
    SlowStartBounds slowStart,
    Faults faultTolerance) {
  /**
   * Identity and addresses of a node.
   *
   * @param name unique name
   * @param ip address by which other nodes reach it
   * @param zone zone, "-" if none was given
   * @param listen addresses for clients
   * @param internalPort port for messages between nodes, the same on all nodes
   * @param seedAddresses internal addresses of the seeds
   */
  record Node(
      String name,
      String ip,
      String zone,
      ListenPoints listen,
      int internalPort,
      List<String> seedAddresses) {}

  /**
   * Listen addresses, {@code address:port}; each is null if it was not given.
   *
   * @param front requests of clients
   * @param readiness readiness checks
   * @param control control API
   */
  record ListenPoints(String front, String readiness, String control) {}

  /**
   * Role, resources and log of a process.
   *
   * @param initialStart whether this may be the first start of the system
   * @param dataDir directory for durable data; null if the node has no disk
   * @param storage whether the node runs the message store
   * @param limits resource limits
   * @param logLevel level of the log
   * @param ejectSlow whether slow workers get less weight
   */
  record ProcessSettings(
      boolean initialStart,
      String dataDir,
      boolean storage,
      ResourceLimits limits,
      String logLevel,
      boolean ejectSlow) {}

  /**
   * Resource limits of a process.
   *
   * @param memoryMb memory in megabytes
   * @param fileDescriptors number of file descriptors
   * @param diskMb disk space in megabytes
   */
  record ResourceLimits(int memoryMb, int fileDescriptors, int diskMb) {}

  /**
   * Times of workers, keys and messages.
   *
   * @param workers times of workers
   * @param keyWindowMicros time in which an idempotency key is executed at most once
   * @param statusMicros time for which the outcome of a message is kept
   * @param maxHoldMicros longest lease of a key range
   * @param thawMicros longest time that a worker goes on after it was paused
   */
  record Timers(
      WorkerTimers workers,
      long keyWindowMicros,
      long statusMicros,
      long maxHoldMicros,
      long thawMicros) {}

  /**
   * Times of workers.
   *
   * @param heartbeatMicros interval of heartbeats
   * @param contactMicros longest time without contact to the core
   * @param drainMicros longest time in which a leaving worker still gets requests
   * @param graceMicros time after which a worker without heartbeats is lost
   */
  record WorkerTimers(
      long heartbeatMicros, long contactMicros, long drainMicros, long graceMicros) {}

  /**
   * The retry budget.
   *
   * @param ratio retries allowed for each first attempt
   * @param slack retries allowed in a window besides
   * @param windowMicros the window
   */
  record Retries(double ratio, double slack, long windowMicros) {}

  /**
   * Bounds on the quota that nodes share.
   *
   * @param windowMicros window over which a rate limit of tenants holds
   * @param excess allowed excess, as a fraction of the limit
   * @param slack allowed excess in requests
   * @param serviceWindowMicros window over which a rate limit of services holds
   * @param serviceExcess largest allowed multiple of a service's limit
   */
  record Quota(
      long windowMicros,
      double excess,
      double slack,
      long serviceWindowMicros,
      double serviceExcess) {}

  /**
   * Bounds on the use of revoked access keys.
   *
   * @param global whether the bound holds on all nodes
   * @param timerMicros longest use of a key after its revocation
   */
  record Revocation(boolean global, long timerMicros) {}

  /**
   * Bounds on the requests that a worker in slow start gets from all nodes within one second.
   *
   * @param excess factor on the rate that its service bears in slow start
   * @param slack requests beyond that
   */
  record SlowStartBounds(double excess, double slack) {}

  /**
   * The losses at one time to tolerate.
   *
   * @param machines number of machines
   * @param zones number of zones
   * @param regions number of regions
   * @param regionOf the region of each zone that the file names
   */
  record Faults(int machines, int zones, int regions, Map<String, String> regionOf) {}

  /**
   * Reads a settings file.
   *
   * @throws ConfigException if the file cannot be read or is not valid
   */
  public static NodeSettings load(Path file) throws ConfigException {
    String text;
    try {
      text = Files.readString(file, StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new ConfigException("settings file: not readable: " + file, e);
    }
    return NodeSettingsParser.parse(JsonFields.parse(text));
  }

  /** Returns the name of the node. */
  public String nodeName() {
    return node.name();
  }

  /** Returns the address by which other nodes reach this one. */
  public String ip() {
    return node.ip();
  }

  /** Returns the zone, "-" if none was given. */
  public String zone() {
    return node.zone();
  }

  /** Returns the listen address for clients, or null. */
  public String frontAddress() {
    return node.listen().front();
  }

  /** Returns the listen address for readiness checks, or null. */
  public String readinessAddress() {
    return node.listen().readiness();
  }

  /** Returns the listen address of the control API, or null. */
  public String controlAddress() {
    return node.listen().control();
  }

  /** Returns the address for messages from other nodes. */
  public String internalAddress() {
    return node.ip() + ":" + node.internalPort();
  }

  /** Returns the internal addresses of the seeds. */
  public List<String> seedAddresses() {
    return node.seedAddresses();
  }

  /** Returns whether this may be the first start of the system. */
  public boolean initialStart() {
    return process.initialStart();
  }

  /** Returns the directory for durable data, or null if the node has no disk. */
  public String dataDir() {
    return process.dataDir();
  }

  /** Returns whether the node runs the message store. */
  public boolean storage() {
    return process.storage();
  }

  /** Returns the allowed number of file descriptors. */
  public int fileDescriptors() {
    return process.limits().fileDescriptors();
  }

  /** Returns the allowed disk space in megabytes. */
  public int diskMb() {
    return process.limits().diskMb();
  }

  /** Returns the level of the log. */
  public String logLevel() {
    return process.logLevel();
  }

  /** Returns whether slow workers get less weight. */
  public boolean ejectSlow() {
    return process.ejectSlow();
  }

  /** Returns the interval of worker heartbeats. */
  public long heartbeatMicros() {
    return timers.workers().heartbeatMicros();
  }

  /** Returns the longest time in which a leaving worker still gets requests. */
  public long drainMicros() {
    return timers.workers().drainMicros();
  }

  /** Returns the time after which a worker without heartbeats is lost. */
  public long graceMicros() {
    return timers.workers().graceMicros();
  }

  /** Returns the time in which an idempotency key is executed at most once. */
  public long keyWindowMicros() {
    return timers.keyWindowMicros();
  }

  /** Returns the time for which the outcome of a message is kept. */
  public long statusMicros() {
    return timers.statusMicros();
  }

  /** Returns the longest lease of a key range. */
  public long holdMicros() {
    return timers.maxHoldMicros();
  }

  /** Returns the longest time that a worker goes on after it was paused. */
  public long thawMicros() {
    return timers.thawMicros();
  }

  /** Returns the number of retries allowed for each first attempt. */
  public double retryRatio() {
    return retries.ratio();
  }

  /** Returns the number of retries allowed in a window besides. */
  public double retrySlack() {
    return retries.slack();
  }

  /** Returns the window of the retry budget. */
  public long retryWindowMicros() {
    return retries.windowMicros();
  }

  /** Returns the window over which a rate limit of tenants holds. */
  public long quotaWindowMicros() {
    return quota.windowMicros();
  }

  /** Returns the allowed excess over a rate limit, as a fraction of it. */
  public double quotaExcess() {
    return quota.excess();
  }

  /** Returns the allowed excess over a rate limit, in requests. */
  public double quotaSlack() {
    return quota.slack();
  }

  /** Returns the window over which a rate limit of services holds. */
  public long ceilingWindowMicros() {
    return quota.serviceWindowMicros();
  }

  /** Returns the largest allowed multiple of a service's rate limit. */
  public double ceilingExcess() {
    return quota.serviceExcess();
  }

  /** Returns whether the bound on the use of revoked access keys holds on all nodes. */
  public boolean revocationGlobal() {
    return revocation.global();
  }

  /** Returns the factor on the rate that a worker in slow start bears. */
  public double slowStartExcess() {
    return slowStart.excess();
  }

  /** Returns the requests that a worker in slow start may get in a second beyond its rate. */
  public double slowStartSlack() {
    return slowStart.slack();
  }

  /** Returns the longest use of an access key after its revocation. */
  public long revokeMicros() {
    return revocation.timerMicros();
  }

  /** Returns the number of machines whose loss is tolerated. */
  public int faults() {
    return faultTolerance.machines();
  }

  /** Returns the number of zones whose loss is tolerated. */
  public int toleratedZones() {
    return faultTolerance.zones();
  }

  /** Returns the number of regions whose loss is tolerated. */
  public int toleratedRegions() {
    return faultTolerance.regions();
  }

  /** Returns the region of each zone that the file names. */
  public Map<String, String> regionOf() {
    return faultTolerance.regionOf();
  }
}
