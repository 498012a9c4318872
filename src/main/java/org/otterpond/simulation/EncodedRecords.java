package org.otterpond.simulation;

import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.otterpond.protocol.WireRecordCodec;

/** Decodes what simulated nodes have encoded themselves. */
final class EncodedRecords {
  private EncodedRecords() {}

  /**
   * Decodes one record.
   *
   * @throws SimulationException if the bytes are malformed, as no fault damages them
   */
  static WireRecord decode(byte[] bytes) {
    try {
      return WireRecordCodec.decode(bytes, 0, bytes.length);
    } catch (ProtocolException e) {
      throw new SimulationException("A record of a simulated node is malformed", e);
    }
  }
}
