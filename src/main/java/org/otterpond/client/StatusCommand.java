package org.otterpond.client;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.concurrent.Callable;
import org.otterpond.chart.ChartException;
import org.otterpond.chart.Fields;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Prints who leads, who is a member and which workers are known. */
@Command(name = "status", description = "Prints who leads, which nodes hold a lease and which workers are known.",
        mixinStandardHelpOptions = true)
final class StatusCommand implements Callable<Integer> {
    @Mixin
    private Connection at;

    @Option(names = "--json", description = "Prints the answer as it came.")
    private boolean json;

    @Override
    public Integer call() throws ClientException, ChartException {
        String text = at.open().get("/-/status");
        if (json) {
            System.out.println(text);
            return 0;
        }
        JsonObject o = Fields.parse(text);
        System.out.println("epoch " + o.get("epoch") + (o.get("confirmed").getAsBoolean() ? "" : " (unconfirmed)")
                + ", revision " + o.get("revision") + ", " + o.get("claims") + " operation keys");
        System.out.println("primary " + text(o, "primary") + ", backups " + o.get("backups") + ", core "
                + o.get("core"));
        System.out.printf("%-28s %-24s %s%n", "NODE", "ADDRESS", "REVISION");
        for (JsonElement e : o.getAsJsonArray("nodes")) {
            JsonObject n = e.getAsJsonObject();
            System.out.printf("%-28s %-24s %s%n", text(n, "name"), text(n, "addr"), text(n, "cfg"));
        }
        if (!o.getAsJsonArray("quotas").isEmpty()) {
            System.out.printf("%-28s %10s %10s %10s %8s %12s %12s%n", "TENANT", "RATE", "BURST", "TOKENS", "LENT",
                    "GRANTED", "DENIED");
        }
        for (JsonElement e : o.getAsJsonArray("quotas")) {
            JsonObject q = e.getAsJsonObject();
            System.out.printf("%-28s %10s %10s %10s %8s %12s %12s%n", text(q, "name"), text(q, "rate"),
                    text(q, "burst"), text(q, "tokens"), text(q, "out"), text(q, "granted"), text(q, "denied"));
        }
        System.out.printf("%-20s %-20s %-24s %-18s %-12s %s%n", "WORKER", "SERVICE", "ADDRESS", "ZONE", "STATE",
                "SLOTS");
        for (JsonElement e : o.getAsJsonArray("workers")) {
            JsonObject w = e.getAsJsonObject();
            System.out.printf("%-20s %-20s %-24s %-18s %-12s %s%n", text(w, "id"), text(w, "service"),
                    text(w, "addr"), text(w, "zone"), text(w, "state").toLowerCase(java.util.Locale.ROOT),
                    text(w, "slots"));
        }
        return 0;
    }

    private static String text(JsonObject o, String name) {
        return o.has(name) && !o.get(name).isJsonNull() ? o.get(name).getAsString() : "-";
    }
}
