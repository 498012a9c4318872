package org.otterpond.control.primary;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.control.configuration.ConfigurationParsing;
import org.otterpond.control.configuration.ConfigurationUpdateParser;
import org.otterpond.control.configuration.ParsedConfiguration;
import org.otterpond.control.epoch.EpochReplica;
import org.otterpond.control.message.CompressedBytes;
import org.otterpond.control.message.ConfigurationChange;
import org.otterpond.control.message.ConfigurationUpdate;
import org.otterpond.control.message.PrimaryReply;
import org.otterpond.control.message.ReadConfigurationReply;
import org.otterpond.control.message.ReadConfigurationRequest;
import org.otterpond.control.message.WriteConfigurationReply;
import org.otterpond.control.message.WriteConfigurationRequest;
import org.otterpond.control.state.ConfigurationEntry;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.runtime.NodeRuntime;

/**
 * Changes the gateway configuration by compare-and-set on the revision, one change at a time, and
 * keeps the newest configuration in its parsed form.
 */
final class ConfigurationChanges {
  private final NodeRuntime runtime;
  private final EpochReplica replica;
  private final LeadershipConfirmation proof;
  private final Listener listener;
  private final ConfigurationChangeLog log = new ConfigurationChangeLog();

  /** The newest configuration that was parsed on this node, or null. */
  private ParsedConfiguration newest;

  /** The change that is being parsed or committed, or null. */
  private PendingWrite pending;

  /** Is informed of configurations that this node, as the primary, is to enforce. */
  interface Listener {
    /** A configuration is the newest. Called at the start of an epoch and after each change. */
    void inForce(GatewayConfiguration configuration);

    /** A change was committed, so that there is an update for the nodes. */
    void committed();
  }

  /** A change that is being parsed or committed. */
  private static final class PendingWrite {
    /** SHA-256 of the request in hexadecimal: a repeated request has the same. */
    private final String digest;

    private final long baseRevision;
    private final List<Consumer<PrimaryReply>> replies = new ArrayList<>();

    PendingWrite(String digest, long baseRevision) {
      this.digest = digest;
      this.baseRevision = baseRevision;
    }
  }

  ConfigurationChanges(
      NodeRuntime runtime, EpochReplica replica, LeadershipConfirmation proof, Listener listener) {
    this.runtime = runtime;
    this.replica = replica;
    this.proof = proof;
    this.listener = listener;
  }

  /**
   * Finds the newest configuration at the start of an epoch. One that was parsed on this node
   * before is not parsed again.
   *
   * @param active the configuration in force on this node
   */
  void began(ParsedConfiguration active) {
    log.clear();
    long revision = replica.committedRevision();
    if (newest != null && newest.revision() == revision) {
      use(newest);
    } else if (active.revision() == revision) {
      if (active.configuration() != null) {
        use(active);
      }
    } else if (replica.committedConfiguration() != null) {
      parseCommitted(revision);
    }
  }

  /** Forgets the pending change: whether it was committed is not known here. */
  void steppedDown() {
    pending = null;
  }

  private void parseCommitted(long revision) {
    ConfigurationUpdate update =
        ConfigurationUpdate.complete(revision, replica.compressedConfiguration());
    ConfigurationUpdateParser parser =
        new ConfigurationUpdateParser(update, ParsedConfiguration.NONE);
    ConfigurationParsing.run(
        runtime, parser.isLong(), parser, () -> parsedCommitted(revision, parser));
  }

  private void parsedCommitted(long revision, ConfigurationUpdateParser parser) {
    if (parser.result() == null) {
      runtime.event(
          "event=configuration_unreadable revision=" + revision + " cause=" + parser.cause());
    } else if (replica.leading() && replica.committedRevision() == revision) {
      use(parser.result());
    }
  }

  private void use(ParsedConfiguration configuration) {
    newest = configuration;
    listener.inForce(configuration.configuration());
  }

  /**
   * Returns a revision in its parsed form if it is the newest and parsed on this node, else null.
   */
  ParsedConfiguration parsed(long revision) {
    return newest != null && newest.revision() == revision && replica.leading() ? newest : null;
  }

  /** Returns the changes between two revisions, see {@link ConfigurationChangeLog#between}. */
  List<ConfigurationChange> changesBetween(long from, long to, long maxBytes) {
    return log.between(from, to, maxBytes);
  }

  /** Handles a request for the committed configuration. */
  void read(ReadConfigurationRequest request, Consumer<PrimaryReply> reply) {
    proof.confirm(
        proved -> {
          if (proved) {
            reply.accept(committedConfiguration());
          }
        });
  }

  private ReadConfigurationReply committedConfiguration() {
    byte[] text = replica.compressedConfiguration();
    return new ReadConfigurationReply(
        replica.committedRevision(), text == null ? null : CompressedBytes.of(text));
  }

  /**
   * Handles a request for a change. While another change is pending the request is not answered;
   * the sender repeats it within its time.
   */
  void write(WriteConfigurationRequest request, Consumer<PrimaryReply> reply) {
    String text;
    try {
      text = request.text().text();
    } catch (ProtocolException e) {
      reply.accept(invalid("body: cannot be uncompressed"));
      return;
    }
    String digest = digest(request, text);
    if (pending != null) {
      if (pending.digest.equals(digest)) {
        pending.replies.add(reply);
      }
      return;
    }
    PendingWrite write = new PendingWrite(digest, request.baseRevision());
    write.replies.add(reply);
    pending = write;
    parse(write, request.kind(), text);
  }

  private static String digest(WriteConfigurationRequest request, String text) {
    return Hashing.sha256()
        .hashString(
            request.kind() + "\n" + request.baseRevision() + "\n" + text, StandardCharsets.UTF_8)
        .toString();
  }

  private void parse(PendingWrite write, String kind, String text) {
    boolean newestIsCommitted = newest != null && newest.revision() == replica.committedRevision();
    ConfigurationWriteParser parser =
        new ConfigurationWriteParser(
            kind, text, newestIsCommitted ? newest : null, replica.committedConfiguration());
    ConfigurationParsing.run(
        runtime,
        parser.isLong(),
        parser,
        () -> {
          if (pending == write) {
            decide(write, parser);
          }
        });
  }

  /** Rejects the change, acknowledges it if it was committed before, or proposes it. */
  private void decide(PendingWrite write, ConfigurationWriteParser parser) {
    WriteConfigurationReply decided = decidedReply(write, parser);
    if (decided == null) {
      propose(write, parser);
      return;
    }
    pending = null;
    write.replies.forEach(reply -> proof.confirmed(reply).accept(decided));
  }

  /** Returns the reply to a change that is not to be proposed, or null if it is. */
  private WriteConfigurationReply decidedReply(
      PendingWrite write, ConfigurationWriteParser parser) {
    long current = replica.committedRevision();
    if (parser.bodyError() != null) {
      return invalid(parser.bodyError());
    }
    if (replica.hold().taken().holds(parser.revision(), write.digest)) {
      return acknowledged();
    }
    if (write.baseRevision != current) {
      return new WriteConfigurationReply(
          WriteConfigurationReply.OTHER_REVISION,
          "X-Otterpond-Base-Revision: the current revision is " + current);
    }
    if (parser.revision() <= current) {
      return invalid("revision: not above the current " + current);
    }
    // Only now, as a modification is valid or not together with the configuration it applies to.
    return parser.configurationError() == null ? null : invalid(parser.configurationError());
  }

  private static WriteConfigurationReply acknowledged() {
    return new WriteConfigurationReply(WriteConfigurationReply.COMMITTED, null);
  }

  private static WriteConfigurationReply invalid(String cause) {
    return new WriteConfigurationReply(WriteConfigurationReply.INVALID, cause);
  }

  private void propose(PendingWrite write, ConfigurationWriteParser parser) {
    boolean accepted =
        replica.propose(
            new ConfigurationEntry(parser.revision(), parser.resultText(), write.digest)
                .toWireRecord(),
            () -> committed(write, parser));
    if (!accepted) {
      pending = null;
    }
  }

  private void committed(PendingWrite write, ConfigurationWriteParser parser) {
    pending = null;
    if (parser.modifies()) {
      log.add(write.baseRevision, parser.revision(), CompressedBytes.ofText(parser.text()));
    } else {
      log.clear();
    }
    use(parser.result());
    runtime.event(
        "event=configuration_committed revision="
            + parser.revision()
            + " base="
            + write.baseRevision);
    write.replies.forEach(reply -> reply.accept(acknowledged()));
    listener.committed();
  }
}
