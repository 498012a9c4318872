package org.otterpond.messaging;

import java.util.HashSet;
import java.util.Set;
import org.otterpond.config.GatewayConfiguration;
import org.otterpond.config.Service;
import org.otterpond.control.state.WorkerInstance;
import org.otterpond.control.state.WorkerState;
import org.otterpond.proxy.ServiceDirectory;

/** The endpoints that the configuration names, which do not register as workers do. */
final class FixedEndpoints {
  private static final String ID_PREFIX = "fixed:";
  private static final char ADDRESS_SEPARATOR = '@';
  private static final int SLOTS = 32;
  private static final String NONE = "-";

  private final ServiceDirectory services;
  private final Set<String> ids = new HashSet<>();

  FixedEndpoints(ServiceDirectory services) {
    this.services = services;
  }

  /** Returns whether an instance is such an endpoint. */
  static boolean isFixed(String instanceId) {
    return instanceId.startsWith(ID_PREFIX);
  }

  /** Adds the endpoints of a configuration and removes those that it does not name. */
  void configured(GatewayConfiguration configuration) {
    Set<String> configured = new HashSet<>();
    for (Service service : configuration.services().values()) {
      if (service.fixedEndpoint() != null) {
        String id = ID_PREFIX + service.name() + ADDRESS_SEPARATOR + service.fixedEndpoint();
        configured.add(id);
        if (ids.add(id)) {
          services.updateWorker(instance(id, WorkerState.IN_SERVICE));
        }
      }
    }
    ids.removeIf(id -> !configured.contains(id) && remove(id));
  }

  private boolean remove(String id) {
    services.updateWorker(instance(id, WorkerState.GONE));
    return true;
  }

  private static WorkerInstance instance(String id, WorkerState state) {
    int separator = id.lastIndexOf(ADDRESS_SEPARATOR);
    String service = id.substring(ID_PREFIX.length(), separator);
    String address = id.substring(separator + 1);
    return new WorkerInstance(id, service, address, NONE, NONE, SLOTS, state, 0, 0);
  }
}
