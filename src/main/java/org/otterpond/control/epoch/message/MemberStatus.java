package org.otterpond.control.epoch.message;

/**
 * How a member describes itself in a pong.
 *
 * @param diskId its disk identity
 * @param diskFailed whether its disk refuses writes
 * @param leaving whether it is shutting down
 */
public record MemberStatus(String diskId, boolean diskFailed, boolean leaving) {}
