package org.otterpond.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.JsonParser;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.otterpond.control.message.StatusReply;
import org.otterpond.protocol.GoldenMessages;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/** The JSON form of a status, which the command line and operators' scripts read. */
class StatusJsonTest {
  // What the code of commit e87432b rendered for the sample of a status that it encoded.
  private static final String CORE =
      "{\"confirmed\":true,\"epoch\":64,\"primary\":\"n\",\"backups\":[],\"core\":[\"n\"],"
          + "\"core_silent\":[],\"revision\":1,\"claims\":6,";

  private static final String NODES =
      "\"nodes\":[{\"name\":\"n\",\"addr\":\"127.0.0.1:40289\",\"zone\":\"z\",\"cfg\":1,"
          + "\"silent_ms\":72},{\"name\":\"edge\",\"addr\":\"127.0.0.4:40289\",\"zone\":\"y\","
          + "\"cfg\":1,\"silent_ms\":70}],";
  private static final String QUOTAS =
      "\"quotas\":[{\"name\":\"acme\",\"rate\":50.0,\"burst\":20.0,\"tokens\":20,\"out\":0,"
          + "\"granted\":3,\"denied\":0}],";
  private static final String WORKERS =
      "\"workers\":[{\"id\":\"i-1\",\"service\":\"s\",\"addr\":\"127.0.0.1:32923\","
          + "\"zone\":\"z\",\"state\":\"LOST\",\"slots\":8},{\"id\":\"i-2\","
          + "\"service\":\"divided\",\"addr\":\"127.0.0.1:32923\",\"zone\":\"z\","
          + "\"state\":\"IN_SERVICE\",\"slots\":8}],";
  private static final String STORES =
      "\"stores\":[{\"name\":\"store-127.0.0.2\",\"addr\":\"127.0.0.2:40289\",\"zone\":\"z\","
          + "\"led\":32,\"held\":32,\"queued\":0,\"dead\":1,\"oldest_ms\":0,\"in_flight\":0,"
          + "\"silent_ms\":72}],";
  private static final String KEYS_AND_PARTITIONS =
      "\"keys\":[{\"service\":\"divided\",\"ranges\":0,\"owners\":0,\"held\":0,\"granting\":0,"
          + "\"releasing\":0,\"expiring\":0,\"fence\":0}],\"partitions\":32,"
          + "\"partitions_lacking\":0}";

  private static WireRecord sample() throws ProtocolException {
    for (GoldenMessages.Sample sample : GoldenMessages.samples("reply")) {
      if (sample.fields().contains("confirmed")) {
        return sample.decoded();
      }
    }
    throw new AssertionError("no sample of a status");
  }

  @Test
  void statusIsRenderedAsBefore() throws ProtocolException {
    StatusReply status = StatusReply.of(sample());

    String json = StatusJson.of(status).toString();

    assertEquals(CORE + NODES + QUOTAS + WORKERS + STORES + KEYS_AND_PARTITIONS, json);
  }

  @Test
  void valuesThatWereLeftOutAreRenderedAsTheTextNull() throws ProtocolException {
    WireRecord worker =
        new WireRecord("vessel")
            .with("id", "w")
            .with("service", "s")
            .with("addr", "b:1")
            .with("slots", 8)
            .with("state", "IN_SERVICE");
    WireRecord encoded = sample().withRecords("workers", List.of(worker));

    String json = StatusJson.of(StatusReply.of(encoded)).get("workers").toString();

    assertEquals(
        JsonParser.parseString(
                "[{\"id\":\"w\",\"service\":\"s\",\"addr\":\"b:1\",\"zone\":\"null\","
                    + "\"state\":\"IN_SERVICE\",\"slots\":8}]")
            .toString(),
        json);
  }
}
