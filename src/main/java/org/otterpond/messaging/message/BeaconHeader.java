package org.otterpond.messaging.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The part that every beacon has.
 *
 * @param to the member that it is for
 * @param sentAtMicros when it was sent, by the sender's clock
 * @param number names the groups and versions within the incarnation
 * @param incarnation names the sender's process
 */
public record BeaconHeader(String to, long sentAtMicros, long number, long incarnation) {
  private static final String TO = "to";
  private static final String SENT_AT = "at";
  private static final String NUMBER = "n";
  private static final String INCARNATION = "life";

  static BeaconHeader of(WireRecord encoded) throws ProtocolException {
    return new BeaconHeader(
        encoded.requiredText(TO),
        encoded.requiredNumber(SENT_AT),
        encoded.requiredNumber(NUMBER),
        encoded.requiredNumber(INCARNATION));
  }

  void addTo(WireRecord encoded) {
    encoded
        .with(TO, to)
        .with(SENT_AT, sentAtMicros)
        .with(NUMBER, number)
        .with(INCARNATION, incarnation);
  }

  /** Returns whether both speak of the same groups and versions. */
  public boolean sameVersions(BeaconHeader other) {
    return number == other.number && incarnation == other.incarnation;
  }
}
