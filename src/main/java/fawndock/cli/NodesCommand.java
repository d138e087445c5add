package fawndock.cli;

import fawndock.counter.replication.MembershipList;
import fawndock.scenario.CounterClient;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * {@code fawndock counter nodes HOST:PORT [NAME=HOST:PORT ...]}: shows or gives the membership list
 * of a counter's nodes.
 */
@Command(
    name = "nodes",
    mixinStandardHelpOptions = true,
    description =
        "Shows the list of nodes that a node goes by, or gives it a new one, which all nodes and gateways take "
            + "from it; waits until all nodes on it answer gateways.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {"0:done", "1:not reached, refused, or not all ready in time"})
final class NodesCommand implements Callable<Integer> {
  private static final long POLL_INTERVAL_MILLIS = 50;

  @Parameters(index = "0", paramLabel = "HOST:PORT", description = "a node that answers gateways")
  private String address;

  @Parameters(
      index = "1..*",
      arity = "0..*",
      paramLabel = "NAME=HOST:PORT",
      description = "all nodes of the new list")
  private List<String> nodes = List.of();

  @Option(
      names = "--seconds",
      defaultValue = "60",
      description = "how long to wait, default ${DEFAULT-VALUE}")
  private int seconds;

  @Override
  public Integer call() throws InterruptedException {
    MembershipList list;
    try (CounterClient caller = new CounterClient(address)) {
      String current = text(caller.call("FD.NODES"));
      if (nodes.isEmpty()) {
        System.out.println(current.isEmpty() ? "the list in the settings" : current);
        return 0;
      }
      String status = String.valueOf(((List<?>) caller.call("FD.STATUS")).get(0));
      if (!status.endsWith(" ready")) {
        throw new IOException("says '" + status + "', expected a node that is ready");
      }
      String epoch = status.replaceFirst(".* epoch ([0-9]+) .*", "$1");
      list = MembershipList.parse((Long.parseLong(epoch) + 1) + " " + String.join(" ", nodes));
      List<String> words = new ArrayList<>(List.of("FD.NODES"));
      words.addAll(List.of(list.toString().split(" ", 0)));
      String adopted = text(caller.call(words.toArray(String[]::new)));
      if (!adopted.equals(list.toString())) {
        throw new IOException("goes by '" + adopted + "', which was given meanwhile");
      }
    } catch (IOException | IllegalArgumentException e) {
      System.err.println(address + ": " + e.getMessage());
      return 1;
    }
    return await(list);
  }

  private static String text(Object reply) throws IOException {
    if (reply instanceof CounterClient.ErrorReply error) {
      throw new IOException(error.text());
    }
    return String.valueOf(reply);
  }

  private int await(MembershipList list) throws InterruptedException {
    Map<String, String> states = new TreeMap<>();
    long deadlineNanos = System.nanoTime() + seconds * 1_000_000_000L;
    boolean areAllReady = false;
    while (!areAllReady && System.nanoTime() - deadlineNanos < 0) {
      areAllReady = true;
      for (Map.Entry<String, String> each : list.addresses().entrySet()) {
        String state = state(each.getValue());
        if (!state.equals(states.put(each.getKey(), state))) {
          System.out.println(each.getKey() + " " + each.getValue() + ": " + state);
        }
        areAllReady &= state.endsWith("epoch " + list.epoch() + " ready");
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    System.out.println(
        areAllReady
            ? "all nodes go by " + list
            : "not all nodes are ready within " + seconds + " s");
    return areAllReady ? 0 : 1;
  }

  private static String state(String address) {
    try (CounterClient caller = new CounterClient(address)) {
      return caller.call("FD.STATUS") instanceof List<?> lines
          ? String.valueOf(lines.get(0))
          : "refused";
    } catch (IOException e) {
      return String.valueOf(e.getMessage());
    }
  }
}
