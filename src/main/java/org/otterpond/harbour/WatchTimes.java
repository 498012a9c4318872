package org.otterpond.harbour;

/** The core's time-outs, in microseconds. */
public record WatchTimes(long ping, long backupSilence, long primarySilence, long resend, long phase, long diskStall,
        long closedGrace) {
    public static WatchTimes standard() {
        return new WatchTimes(150_000, 500_000, 650_000, 250_000, 900_000, 700_000, 250_000);
    }
}
