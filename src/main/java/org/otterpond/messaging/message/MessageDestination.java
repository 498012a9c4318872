package org.otterpond.messaging.message;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * Where a message is to be delivered.
 *
 * @param host the host that the client named
 * @param target the request target with its query
 * @param revision the configuration under which the message was accepted
 */
public record MessageDestination(String host, String target, long revision) {
  static final String HOST = "host";
  static final String TARGET = "target";
  static final String REVISION = "cfg";

  static MessageDestination of(WireRecord encoded) throws ProtocolException {
    return new MessageDestination(
        encoded.requiredText(HOST), encoded.requiredText(TARGET), encoded.requiredNumber(REVISION));
  }

  void addTo(WireRecord encoded) {
    encoded.with(HOST, host).with(TARGET, target).with(REVISION, revision);
  }

  /** Returns the target without its query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
