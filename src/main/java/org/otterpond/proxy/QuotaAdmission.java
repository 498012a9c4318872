package org.otterpond.proxy;

import java.util.function.DoubleConsumer;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.agent.QuotaCache;
import org.otterpond.net.EventLoop;

/** Reserves tokens of the tenants' quotas, one for each attempt. */
final class QuotaAdmission {
  /** Reported in place of a retry time if the quota owner did not answer in time. */
  static final double NO_ANSWER = -1;

  private static final long MIN_WAIT_MICROS = 50_000;

  private final EventLoop eventLoop;
  private final ControlPlaneAgent agent;
  private final QuotaCache quota;

  QuotaAdmission(EventLoop eventLoop, ControlPlaneAgent agent) {
    this.eventLoop = eventLoop;
    this.agent = agent;
    this.quota = agent.stores();
  }

  /** Returns for how long a node that is out of touch with the core waits for it at most. */
  static long minWaitMicros() {
    return MIN_WAIT_MICROS;
  }

  /** Returns how long to wait for the core: another primary takes over within about a second. */
  long coreWaitMicros(RequestContext request) {
    return agent.outOfTouch()
        ? MIN_WAIT_MICROS
        : Math.max(
            RequestContext.MIN_TIME_LEFT_MICROS, request.timeLeftMicros(EventLoop.now()) * 2 / 5);
  }

  /** Reserves a token that is available here; returns false if there is none. */
  boolean tryReserve(RequestContext request) {
    request.quotaTokenReserved = quota.take(request.tenant.name());
    return request.quotaTokenReserved;
  }

  /** Gives a reserved token back that was not used for an attempt. */
  void giveBack(RequestContext request) {
    if (request.quotaTokenReserved) {
      request.quotaTokenReserved = false;
      quota.giveBack(request.tenant.name());
    }
  }

  /**
   * Reserves a token, from this node or from the owner of the quota.
   *
   * @param reserved runs once the token is reserved
   * @param unavailable gets the seconds after which to retry, or {@link #NO_ANSWER}
   */
  void reserve(RequestContext request, Runnable reserved, DoubleConsumer unavailable) {
    long waitMicros = coreWaitMicros(request);
    Reservation reservation = new Reservation(request, reserved, unavailable);
    quota.acquire(request.tenant.name(), reservation);
    if (reservation.waits()) {
      eventLoop.after(waitMicros, reservation::timedOut);
    }
  }

  private static final class Reservation implements QuotaCache.Taker {
    private final RequestContext request;
    private final Runnable reserved;
    private final DoubleConsumer unavailable;
    private boolean done;

    Reservation(RequestContext request, Runnable reserved, DoubleConsumer unavailable) {
      this.request = request;
      this.reserved = reserved;
      this.unavailable = unavailable;
    }

    @Override
    public boolean waits() {
      return !done && !request.finished;
    }

    @Override
    public void taken() {
      done = true;
      request.quotaTokenReserved = true;
      reserved.run();
    }

    @Override
    public void over(double retryAfterSeconds) {
      done = true;
      unavailable.accept(retryAfterSeconds);
    }

    void timedOut() {
      if (waits()) {
        over(NO_ANSWER);
      }
    }
  }
}
