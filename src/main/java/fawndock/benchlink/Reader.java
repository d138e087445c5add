package fawndock.benchlink;

import fawndock.Gatekeeper.Availability;
import fawndock.Gatekeeper.Counted;
import fawndock.Gatekeeper.Event;
import fawndock.Gatekeeper.Gone;
import fawndock.Gatekeeper.Listing;
import fawndock.Gatekeeper.Message;
import fawndock.Gatekeeper.Outcome;
import fawndock.Gatekeeper.Probed;
import fawndock.Gatekeeper.Request;
import fawndock.Gatekeeper.Result;
import fawndock.Gatekeeper.Server;
import fawndock.Gatekeeper.Servers;
import fawndock.Gatekeeper.Started;
import fawndock.Gatekeeper.Wake;
import fawndock.wire.Json.Obj;
import fawndock.wire.SettingsReader;
import fawndock.wire.WireException;

/** Translates the wire's events into the interface's. */
final class Reader {
  private static final int REPEAT_BIT = 2;

  private Reader() {}

  static Event event(String what, Obj e) {
    return switch (what) {
      case "Call" ->
          new Request(
              e.integer("op-id"),
              e.text("class"),
              e.text("tariff"),
              e.text("customer"),
              e.integer("give-up-at-us"),
              e.numberOr("price-units", 1),
              (int) e.integerOr("doors", 1),
              (int) e.integerOr("base", 0),
              (e.integerOr("attrs", 0) & REPEAT_BIT) != 0);
      case "AttemptEnd" ->
          new Outcome(
              e.integer("op-id"),
              (int) e.integerOr("try", 0),
              e.text("worker"),
              e.integerOr("duration-us", 0),
              result(e.text("verdict")),
              e.flag("terminal"),
              e.numberOr("charged", 0),
              SettingsReader.load(e.objectOr("stats")));
      case "Started" ->
          new Started(e.integer("op-id"), (int) e.integerOr("try", 0), e.text("worker"));
      case "HealthResult" ->
          new Probed(
              e.text("worker"),
              e.integerOr("duration-us", 0),
              result(e.text("verdict")),
              SettingsReader.load(e.objectOr("stats")));
      case "LedgerReply" ->
          new Counted(
              e.text("book"),
              result(e.text("verdict")),
              e.numberOr("level", 0),
              e.integerOr("duration-us", 0));
      case "Expired" -> new Gone(e.integer("op-id"));
      case "Timer" -> new Wake(e.text("cookie"));
      case "Mail" -> new Message((int) e.integer("from"), e.text("body"));
      case "Registry" ->
          new Servers(
              listing(e.text("kind")),
              e.objectsOr("members-list").stream().map(Reader::server).toList());
      default -> throw new WireException("unknown event '" + what + "'");
    };
  }

  private static Server server(Obj s) {
    return new Server(
        s.text("worker"),
        s.textOr("site", ""),
        (int) s.integerOr("pod", 0),
        SettingsReader.constant(Availability.class, s.textOr("availability", "Running")),
        s.numberOr("power-hint", 1),
        s.integerOr("start-time-us", 0));
  }

  private static Listing listing(String kind) {
    return switch (kind) {
      case "delta" -> Listing.CHANGES;
      case "full" -> Listing.COMPLETE;
      case "cached" -> Listing.CACHED;
      case "failed" -> Listing.FAILED;
      default -> throw new WireException("unknown list kind '" + kind + "'");
    };
  }

  private static Result result(String verdict) {
    return switch (verdict) {
      case "delivered" -> Result.OK;
      case "app_error" -> Result.ERROR;
      case "shed" -> Result.SHED;
      case "expired" -> Result.TIMEOUT;
      case "dial_failed" -> Result.CONNECT_FAILED;
      case "dropped" -> Result.RESET;
      case "revoked" -> Result.CANCELLED;
      case "unused" -> Result.UNUSED;
      default -> throw new WireException("unknown verdict '" + verdict + "'");
    };
  }
}
