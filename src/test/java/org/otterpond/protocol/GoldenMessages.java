package org.otterpond.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

/**
 * The messages and records that the code of commit e87432b encoded, and checks that a typed message
 * reads them and writes the same bytes.
 */
public final class GoldenMessages {
  private static final String FILE = "messages.txt";

  private GoldenMessages() {}

  /**
   * One encoded message.
   *
   * @param kind the kind of the outermost record
   * @param fields the names of its fields, in the order in which they are encoded
   * @param bytes the encoded form
   */
  public record Sample(String kind, List<String> fields, byte[] bytes) {
    private static Sample of(String line) {
      String[] columns = line.split("\t", -1);
      List<String> fields = columns[1].isEmpty() ? List.of() : List.of(columns[1].split(","));
      return new Sample(columns[0], fields, HexFormat.of().parseHex(columns[2]));
    }

    /** Decodes the bytes; each call returns a new record. */
    public WireRecord decoded() throws ProtocolException {
      return WireRecordCodec.decode(bytes, 0, bytes.length);
    }
  }

  /** Reads a typed message from its encoded form. */
  @FunctionalInterface
  public interface Decoder {
    /** Reads the typed message; a decoder of a family may return any of its types. */
    Encodable decode(WireRecord encoded) throws ProtocolException;
  }

  /** Returns every sample of the file, in its order. */
  public static List<Sample> samples() {
    return Fixtures.lines(FILE).stream().map(Sample::of).toList();
  }

  /** Returns the samples whose outermost record is of the given kind, in the order of the file. */
  public static List<Sample> samples(String kind) {
    return samples().stream().filter(sample -> sample.kind().equals(kind)).toList();
  }

  /**
   * Returns every record of the given kind, at any depth of any sample: some kinds stand only
   * inside others.
   */
  public static List<WireRecord> records(String kind) throws ProtocolException {
    List<WireRecord> found = new ArrayList<>();
    for (Sample sample : samples()) {
      collect(kind, sample.decoded().asMap(), found);
    }
    return found;
  }

  /**
   * Checks that each sample of a kind is read into a typed message that encodes to the same bytes.
   */
  public static void assertRoundTrip(String kind, Decoder decoder) throws ProtocolException {
    List<Sample> samples = samples(kind);
    assertFalse(samples.isEmpty(), "no sample of kind " + kind);
    for (Sample sample : samples) {
      Encodable typed = decoder.decode(sample.decoded());
      assertEquals(hex(sample.bytes()), hex(encode(typed)), () -> kind + ": " + typed);
    }
  }

  /**
   * Checks that each record of a kind, at any depth of any sample, is read into a typed value that
   * encodes to the same bytes.
   */
  public static void assertNestedRoundTrip(String kind, Decoder decoder) throws ProtocolException {
    List<WireRecord> records = records(kind);
    assertFalse(records.isEmpty(), "no record of kind " + kind);
    for (WireRecord encoded : records) {
      Encodable typed = decoder.decode(encoded);
      assertEquals(hex(encode(encoded)), hex(encode(typed)), () -> kind + ": " + typed);
    }
  }

  private static byte[] encode(Encodable message) {
    return WireRecordCodec.encode(message.toWireRecord());
  }

  private static String hex(byte[] bytes) {
    return HexFormat.of().formatHex(bytes);
  }

  @SuppressWarnings("unchecked") // the codec writes only maps whose keys are field names
  private static void collect(String kind, Object value, List<WireRecord> into) {
    if (value instanceof Map<?, ?> fields) {
      WireRecord wireRecord = WireRecord.fromMap((Map<String, Object>) fields);
      if (wireRecord.kind().equals(kind)) {
        into.add(wireRecord);
      }
      fields.values().forEach(field -> collect(kind, field, into));
    } else if (value instanceof List<?> list) {
      list.forEach(element -> collect(kind, element, into));
    }
  }
}
