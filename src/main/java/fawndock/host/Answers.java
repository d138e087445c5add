package fawndock.host;

/** Is told of each final answer, for a log; costs nothing where there is none. */
public interface Answers {
  /** Takes no notice. */
  Answers NONE = (request, now, verdict, reason) -> {};

  /** How a request ended for its client. */
  enum Verdict {
    SERVED,
    REFUSED,
    FAILED,
    GONE
  }

  /** A request has had its final answer, or its client has left. */
  void answered(OpenRequest request, long now, Verdict verdict, String reason);
}
