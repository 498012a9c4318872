package org.otterpond.harbour;

/** The core's time-outs, in microseconds. */
public record WatchTimes(long ping, long backupSilence, long primarySilence, long resend, long phase, long diskStall,
        long closedGrace) {
    public static WatchTimes standard() {
        return new WatchTimes(200_000, 700_000, 800_000, 250_000, 900_000, 700_000, 250_000);
    }
}
