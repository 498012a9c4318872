package org.otterpond.messaging.message;

import java.util.ArrayList;
import java.util.List;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/**
 * What is sent to the worker: the part of a message that is read from the disk when it is needed.
 *
 * @param method the HTTP method
 * @param headers name, value, name, value, and so on
 * @param body the bytes of the request
 */
// The body is written once and shared, as in HttpMessage; the record is never compared.
@SuppressWarnings("ArrayRecordComponent")
public record MessageContent(String method, List<String> headers, byte[] body) {
  static final String METHOD = "method";
  static final String HEADERS = "headers";
  static final String BODY = "body";

  /**
   * Reads the content of an accepted message or of a snapshot.
   *
   * @throws ProtocolException if a field is missing or a header is no text
   */
  public static MessageContent of(WireRecord encoded) throws ProtocolException {
    List<String> headers = new ArrayList<>();
    for (Object header : encoded.list(HEADERS)) {
      if (!(header instanceof String text)) {
        throw new ProtocolException("kind " + encoded.kind() + ": " + HEADERS + " holds no text");
      }
      headers.add(text);
    }
    return new MessageContent(encoded.requiredText(METHOD), headers, encoded.requiredBytes(BODY));
  }

  void addTo(WireRecord encoded) {
    encoded.with(METHOD, method).with(HEADERS, headers).with(BODY, body);
  }
}
