package org.otterpond.control.primary;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.otterpond.control.message.CompressedBytes;
import org.otterpond.control.message.KnownVersions;
import org.otterpond.control.message.NodePoll;
import org.otterpond.control.message.PollResponse;
import org.otterpond.control.message.ReadConfigurationReply;
import org.otterpond.control.message.ReadConfigurationRequest;
import org.otterpond.control.message.StatusReply;
import org.otterpond.control.message.StatusRequest;
import org.otterpond.control.message.UnknownOperationReply;
import org.otterpond.control.message.UnknownRequest;
import org.otterpond.control.message.WriteConfigurationReply;
import org.otterpond.control.message.WriteConfigurationRequest;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;

/** Polls and requests at the primary of a core of one member. */
class PrimaryServicesTest {
  private static final KnownVersions NOTHING = new KnownVersions(0, 0, 0, 0, OptionalLong.of(0));

  private final SingleMemberCore core = new SingleMemberCore();

  private List<WireRecord> responses() {
    return core.runtime.sent().stream()
        .filter(message -> message.kind().equals(PollResponse.KIND))
        .toList();
  }

  private PollResponse lastResponse() throws ProtocolException {
    List<WireRecord> responses = responses();
    return PollResponse.of(responses.get(responses.size() - 1));
  }

  private void poll(NodePoll poll) {
    core.services.onPoll(poll.node().address(), poll.toWireRecord());
  }

  private int write(String kind, long base, String text) throws ProtocolException {
    WriteConfigurationRequest request =
        new WriteConfigurationRequest(kind, base, CompressedBytes.ofText(text));
    return WriteConfigurationReply.of(core.ask(request).get(0)).status();
  }

  @Test
  void givenNewNode_whenItPolls_thenItGetsEpochAndFleetAtOnce() throws ProtocolException {
    // when
    poll(SingleMemberCore.poll("n1", 1, NOTHING));

    // then
    PollResponse response = lastResponse();
    assertEquals(core.replica.record(), response.membership().orElseThrow().epochRecord());
    assertEquals(1, response.membership().orElseThrow().fleet().nodesByZone().get("z1"));
  }

  @Test
  void givenNodeWithoutUpdates_whenItPolls_thenResponseComesAfterLongestPoll()
      throws ProtocolException {
    // given
    poll(SingleMemberCore.poll("n1", 1, NOTHING));
    long epoch = core.replica.record().epoch();
    long version = lastResponse().header().workerTableVersion();
    NodePoll next =
        SingleMemberCore.poll(
            "n1", 1, new KnownVersions(epoch, version, 0, 0, OptionalLong.empty()));
    final int before = responses().size();

    // when
    poll(next);
    core.runtime.run(500_000);
    final int early = responses().size();
    core.runtime.run(500_000);

    // then
    assertEquals(before, early);
    assertEquals(before + 1, responses().size());
    assertTrue(lastResponse().membership().isEmpty());
  }

  /** Guards against a core that answers no change any more after one that it cannot apply. */
  @Test
  void givenTableOfUnnamedItems_whenItIsModified_thenThatIsInvalidAndTheNextChangeIsAnswered()
      throws ProtocolException {
    write(
        WriteConfigurationRequest.REPLACE,
        0,
        "{\"revision\":1,\"route_table\":[],\"service_table\":[],\"other_table\":[{\"a\":1}]}");

    int status =
        write(
            WriteConfigurationRequest.MODIFY,
            1,
            "{\"revision\":2,\"upsert_items\":{\"other_table\":[{\"name\":\"x\"}]}}");

    assertEquals(WriteConfigurationReply.INVALID, status);
    assertEquals(
        WriteConfigurationReply.COMMITTED,
        write(WriteConfigurationRequest.MODIFY, 1, "{\"revision\":2}"));
  }

  @Test
  void givenNodeWithConfiguration_whenItIsModified_thenNodeGetsTheChangeOnly()
      throws ProtocolException {
    // given
    write(
        WriteConfigurationRequest.REPLACE,
        0,
        "{\"revision\":1,\"route_table\":[],\"service_table\":[],\"subscribers\":[]}");
    poll(SingleMemberCore.poll("n1", 1, NOTHING));
    assertTrue(lastResponse().configuration().orElseThrow().isComplete());
    long epoch = core.replica.record().epoch();
    long version = lastResponse().header().workerTableVersion();
    poll(
        SingleMemberCore.poll(
            "n1", 1, new KnownVersions(epoch, version, 1, 0, OptionalLong.empty())));

    // when
    write(WriteConfigurationRequest.MODIFY, 1, "{\"revision\":2}");

    // then
    assertEquals(1, lastResponse().configuration().orElseThrow().changes().size());
    assertEquals(2, lastResponse().configuration().orElseThrow().revision());
  }

  @Test
  void givenConfiguration_whenWritten_thenBaseAndRevisionAreCompared() throws ProtocolException {
    // given
    String first = "{\"revision\":3,\"route_table\":[],\"service_table\":[],\"subscribers\":[]}";
    assertEquals(200, write(WriteConfigurationRequest.REPLACE, 0, first));

    // when, then
    assertEquals(200, write(WriteConfigurationRequest.REPLACE, 0, first), "repeated");
    assertEquals(412, write(WriteConfigurationRequest.REPLACE, 0, "{\"revision\":4}"));
    assertEquals(400, write(WriteConfigurationRequest.MODIFY, 3, "{\"revision\":2}"));
    assertEquals(400, write(WriteConfigurationRequest.MODIFY, 3, "not json"));
    assertEquals(
        3, ReadConfigurationReply.of(core.ask(new ReadConfigurationRequest()).get(0)).revision());
  }

  @Test
  void givenPendingChange_whenAnotherIsWritten_thenItGetsNoReply() {
    // given
    WriteConfigurationRequest first =
        new WriteConfigurationRequest(
            WriteConfigurationRequest.REPLACE,
            0,
            CompressedBytes.ofText(
                "{\"revision\":1,\"route_table\":[],\"service_table\":[],\"subscribers\":[]}"));
    WriteConfigurationRequest other =
        new WriteConfigurationRequest(
            WriteConfigurationRequest.REPLACE,
            0,
            CompressedBytes.ofText(
                "{\"revision\":2,\"route_table\":[],\"service_table\":[],\"subscribers\":[]}"));

    // when
    core.services.serve(first.toWireRecord(), core.replies::add);
    core.services.serve(first.toWireRecord(), core.replies::add);
    core.services.serve(other.toWireRecord(), core.replies::add);
    core.runtime.run(1_000_000);

    // then
    assertEquals(2, core.replies.size(), "the pending change and its repetition");
  }

  @Test
  void givenPolledNode_whenStatusIsAsked_thenItIsConfirmedAndHasTheNode() throws ProtocolException {
    // given
    poll(SingleMemberCore.poll("n1", 1, NOTHING));

    // when
    StatusReply status = StatusReply.of(core.ask(new StatusRequest()).get(0));

    // then
    assertTrue(status.confirmed());
    assertEquals("n1", status.fleet().nodes().get(0).name());
  }

  @Test
  void givenUnknownOperation_whenAsked_thenReplySaysSo() throws ProtocolException {
    WireRecord reply = core.ask(new UnknownRequest("later")).get(0);
    assertEquals("unknown operation", UnknownOperationReply.of(reply).error());
  }

  @Test
  void givenMalformedMessages_whenHandled_thenTheyAreLoggedAndDropped() {
    // when
    core.services.onPoll("n1:1", new WireRecord(NodePoll.KIND));
    core.services.serve(new WireRecord("ask").with("op", "claim"), core.replies::add);

    // then
    assertEquals(List.of(), core.replies);
    assertEquals(
        2,
        core.runtime.events().stream()
            .filter(event -> event.startsWith("event=malformed_message"))
            .count());
  }
}
