package org.otterpond.net;

import org.otterpond.protocol.Encodable;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * The first message on a connection between nodes, from the one that established it.
 *
 * @param address the internal address of the sender
 */
record PeerIntroduction(String address) implements Encodable {
  /** The encoded kind. */
  static final String KIND = "link";

  private static final String ADDRESS = "addr";

  /**
   * Reads an introduction.
   *
   * @throws ProtocolException if the address is missing
   */
  static PeerIntroduction of(WireRecord encoded) throws ProtocolException {
    return new PeerIntroduction(encoded.requiredText(ADDRESS));
  }

  @Override
  public WireRecord toWireRecord() {
    return new WireRecord(KIND).with(ADDRESS, address);
  }
}
