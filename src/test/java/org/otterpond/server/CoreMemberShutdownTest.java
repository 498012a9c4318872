package org.otterpond.server;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Graceful shutdown of a core member whose replica of the state is still needed. */
class CoreMemberShutdownTest {
  @Test
  void memberThatCannotBeReplacedStaysUntilItsGracePeriodEnds(@TempDir Path folder)
      throws Exception {
    int internal = LoopbackNode.freePort();
    int control = LoopbackNode.freePort();
    CountDownLatch ended = new CountDownLatch(1);
    NodeServer leaver = start(folder, "127.0.0.1", internal, control, ended::countDown);
    start(folder, "127.0.0.2", internal, control, () -> {});
    String config = "{\"revision\":1,\"route_table\":[],\"service_table\":[]}";
    LoopbackNode.untilAnswered(
        control,
        "POST /-/Configuration.Replace HTTP/1.1\r\nHost: c\r\n"
            + "X-Otterpond-Base-Revision: 0\r\nContent-Length: "
            + config.length()
            + "\r\n\r\n"
            + config);
    leaver.leave();
    assertFalse(ended.await(4, TimeUnit.SECONDS), "the other member has the only other replica");
    assertTrue(ended.await(6, TimeUnit.SECONDS), "the grace period is over");
  }

  private static NodeServer start(Path folder, String ip, int internal, int control, Runnable end)
      throws Exception {
    Path file = folder.resolve(ip + ".json");
    Files.writeString(
        file,
        "{\"node_name\":\""
            + ip
            + "\",\"ip\":\""
            + ip
            + "\",\"listen_points\":{"
            + "\"control_point\":\""
            + ip
            + ":"
            + control
            + "\"},\"internal_port_range\":["
            + internal
            + ","
            + internal
            + "],\"seed_peers\":[\"127.0.0.1:"
            + control
            + "\",\"127.0.0.2:"
            + control
            + "\"],\"initial_start\":true,\"data_dir\":\""
            + folder.resolve("data-" + ip)
            + "\",\"bounds\":{\"grace_s\":6}}");
    return LoopbackNode.run(file, end);
  }
}
