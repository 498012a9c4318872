package org.otterpond.client;

import com.google.gson.JsonObject;
import java.util.List;

/** Sends a worker's beats. */
public final class Beats {
  private final ControlCall calls;

  public Beats(List<String> nodes) {
    calls = new ControlCall(nodes);
  }

  public void beat(String id, String service, String address, String zone, long sequence) {
    JsonObject o = new JsonObject();
    o.addProperty("target_service", service);
    o.addProperty("address", address);
    o.addProperty("zone", zone);
    o.addProperty("revision", "trial");
    o.addProperty("capacity_slots", 4);
    o.addProperty("state", "in_service");
    o.addProperty("warmup_left_ms", 0);
    o.addProperty("call_sequence", sequence);
    try {
      calls.post("/-/Instances.Heartbeat/" + id, o.toString(), 0);
    } catch (ClientException e) {
      System.err.println("event=beat_failed cause=\"" + e.getMessage() + "\"");
    }
  }
}
