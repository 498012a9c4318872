package org.otterpond.soak;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The result of one soak.
 *
 * @param options what was played
 * @param violations what contradicts a promise
 * @param summary counts, to see that anything happened at all
 */
record SoakReport(SoakOptions options, List<String> violations, String summary) {
  static SoakReport of(SoakOptions options, SoakRecords records) {
    return new SoakReport(options, new SoakJudge(records).judge(), summary(records));
  }

  private static String summary(SoakRecords records) {
    int left = 0;
    int cutOff = 0;
    Map<Integer, Integer> statuses = new TreeMap<>();
    for (SoakRecords.Request request : records.requests) {
      if (request.leftAtNanos != SoakRecords.NEVER) {
        left++;
      } else if (request.cutOff) {
        cutOff++;
      } else if (request.status != 0) {
        statuses.merge(request.status, 1, Integer::sum);
      }
    }
    return String.format(
        "requests=%d left=%d cut_off=%d statuses=%s runs=%d disturbances=%d cpu_pressure=%.2f",
        records.requests.size(),
        left,
        cutOff,
        statuses,
        records.runsByAttempt.size(),
        records.disturbances.size(),
        records.pressure.share());
  }

  boolean passed() {
    return violations.isEmpty();
  }
}
