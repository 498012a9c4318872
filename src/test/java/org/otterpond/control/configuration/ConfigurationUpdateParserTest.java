package org.otterpond.control.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.control.message.ConfigurationUpdate;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

class ConfigurationUpdateParserTest {
  private static final String COMPLETE = "{\"revision\":3,\"route_table\":[],\"service_table\":[]}";

  private static ConfigurationUpdateParser parsed(WireRecord news, ParsedConfiguration current)
      throws ProtocolException {
    ConfigurationUpdateParser parser =
        new ConfigurationUpdateParser(ConfigurationUpdate.of(news), current);
    parser.run();
    return parser;
  }

  private static WireRecord complete() {
    return news(3).with("text", CompressedPayload.pack(COMPLETE));
  }

  private static WireRecord news(long revision) {
    return new WireRecord("news").with("cfg", revision);
  }

  private static WireRecord change(long base, long revision) {
    byte[] body = CompressedPayload.pack("{\"revision\":" + revision + "}");
    return new WireRecord("change").with("base", base).with("rev", revision).with("change", body);
  }

  @Test
  void givenCompleteText_whenParsed_thenItIsTheResult() throws ProtocolException {
    ParsedConfiguration result = parsed(complete(), ParsedConfiguration.NONE).result();

    assertEquals(3, result.revision());
    assertEquals(3, result.configuration().revision());
  }

  @Test
  void givenChangesOneAfterAnother_whenParsed_thenAllAreApplied() throws ProtocolException {
    ParsedConfiguration current = parsed(complete(), ParsedConfiguration.NONE).result();

    WireRecord news = news(5).withRecords("changes", List.of(change(3, 4), change(4, 5)));

    assertEquals(5, parsed(news, current).result().configuration().revision());
  }

  @Test
  void givenChangeToAnotherRevision_whenParsed_thenThereIsNeitherResultNorCause()
      throws ProtocolException {
    WireRecord news = news(5).withRecords("changes", List.of(change(4, 5)));

    ConfigurationUpdateParser parser = parsed(news, ParsedConfiguration.NONE);

    assertNull(parser.result());
    assertNull(parser.cause());
  }

  @Test
  void givenMalformedUpdate_whenParsed_thenTheCauseNamesIt() throws ProtocolException {
    WireRecord noBase = new WireRecord("change").with("rev", 5L);
    WireRecord news = news(5).withRecords("changes", List.of(noBase));

    ProtocolException malformed =
        assertThrows(ProtocolException.class, () -> ConfigurationUpdate.of(news));
    assertEquals("kind change lacks the required field base", malformed.getMessage());
    assertNotNull(parsed(news(5).with("text", new byte[] {1}), ParsedConfiguration.NONE).cause());
  }
}
