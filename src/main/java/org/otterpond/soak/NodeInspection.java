package org.otterpond.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.otterpond.client.ControlApiClient;
import org.otterpond.client.ControlApiException;

/** What the nodes say of themselves once nothing disturbs them any more. */
final class NodeInspection {
  private static final Pattern FAULTS =
      Pattern.compile(
          "event=(abandoned_work|messages_stranded|task_failed|loop_failed|out_of_memory"
              + "|work_failed|slow_start_exceeded)");
  private static final String VIOLATIONS = "otterpond_departures_violations_total";
  private static final String OPEN_REQUESTS = "otterpond_requests_open";
  private static final int ATTEMPTS = 20;
  private static final long PAUSE_MILLIS = 250;

  private final List<NodeProcess> nodes;
  private final SoakRecords records;

  NodeInspection(List<NodeProcess> nodes, SoakRecords records) {
    this.nodes = nodes;
    this.records = records;
  }

  void inspect() throws IOException, InterruptedException {
    for (NodeProcess node : nodes) {
      inspectLog(node);
      inspectMetrics(node);
    }
  }

  private void inspectLog(NodeProcess node) throws IOException {
    for (String line : Files.readAllLines(node.logFile(), StandardCharsets.UTF_8)) {
      if (FAULTS.matcher(line).find()) {
        records.findings.add(node.address() + " logged " + line);
      }
    }
  }

  private void inspectMetrics(NodeProcess node) throws InterruptedException {
    String last = "";
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      try {
        String page = new ControlApiClient(List.of(node.controlPoint())).get("/-/metrics");
        last = VIOLATIONS + "=" + value(page, VIOLATIONS) + " " + OPEN_REQUESTS + "=";
        last += value(page, OPEN_REQUESTS);
        if (value(page, VIOLATIONS) == 0 && value(page, OPEN_REQUESTS) == 0) {
          return;
        }
      } catch (ControlApiException e) {
        last = e.getMessage();
      }
      Thread.sleep(PAUSE_MILLIS);
    }
    records.findings.add(node.address() + " at the end: " + last);
  }

  /** Returns the value of a metric, NaN if the page lacks it. */
  private static double value(String page, String name) {
    Matcher line = Pattern.compile("(?m)^" + name + " (.*)$").matcher(page);
    return line.find() ? Double.parseDouble(line.group(1)) : Double.NaN;
  }
}
