package org.otterpond.soak;

/** The body of a worker's response: whose request it answers, and padding. */
final class SoakBody {
  private static final int MAX_PADDING_CHARS = 60_000;

  /** One response in so many is long. */
  private static final int LONG_EVERY = 8;

  private static final String NO_KEY = "-";

  private SoakBody() {}

  static String of(String attemptId, String key, long runNumber) {
    String owner = attemptId + " " + (key == null ? NO_KEY : key) + " " + runNumber + "\n";
    int padding = Math.floorMod(owner.hashCode(), MAX_PADDING_CHARS);
    return Math.floorMod(runNumber, LONG_EVERY) == 0 ? owner + "x".repeat(padding) : owner;
  }

  /** Whether a response belongs to the request: to its key, or else to this very attempt. */
  static boolean belongsTo(String body, SoakRecords.Request request) {
    String[] owner = body.split("[ \n]", 4);
    return owner.length >= 3
        && (request.key == null
            ? owner[0].equals(request.attemptId)
            : owner[1].equals(request.key));
  }
}
