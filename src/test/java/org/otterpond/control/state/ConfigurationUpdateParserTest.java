package org.otterpond.control.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.protocol.CompressedPayload;
import org.otterpond.protocol.WireRecord;

class ConfigurationUpdateParserTest {
  private static final String COMPLETE = "{\"revision\":3,\"route_table\":[],\"service_table\":[]}";

  private static ConfigurationUpdateParser parsed(WireRecord news, ParsedConfiguration current) {
    ConfigurationUpdateParser parser = new ConfigurationUpdateParser(news, current);
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
  void givenCompleteText_whenParsed_thenItIsTheResult() {
    ParsedConfiguration result = parsed(complete(), ParsedConfiguration.NONE).result();

    assertEquals(3, result.revision());
    assertEquals(3, result.checked().revision());
  }

  @Test
  void givenChangesOneAfterAnother_whenParsed_thenAllAreApplied() {
    ParsedConfiguration current = parsed(complete(), ParsedConfiguration.NONE).result();

    WireRecord news = news(5).withRecords("changes", List.of(change(3, 4), change(4, 5)));

    assertEquals(5, parsed(news, current).result().checked().revision());
  }

  @Test
  void givenChangeToAnotherRevision_whenParsed_thenThereIsNeitherResultNorCause() {
    WireRecord news = news(5).withRecords("changes", List.of(change(4, 5)));

    ConfigurationUpdateParser parser = parsed(news, ParsedConfiguration.NONE);

    assertNull(parser.result());
    assertNull(parser.cause());
  }

  @Test
  void givenMalformedUpdate_whenParsed_thenTheCauseNamesIt() {
    WireRecord noBase = new WireRecord("change").with("rev", 5L);
    WireRecord news = news(5).withRecords("changes", List.of(noBase));

    assertEquals(
        "kind change lacks the required field base",
        parsed(news, ParsedConfiguration.NONE).cause());
    assertNotNull(parsed(news(5).with("text", new byte[] {1}), ParsedConfiguration.NONE).cause());
  }
}
