/**
 * Bridges a service's own events into a `most` stream. Observers receive the
 * events published while they are subscribed.
 */
import { type Disposable, type Scheduler, type Sink, Stream } from "most";

/** Publishes events to a `most` stream. */
export class EventSource<T> {
  readonly #subscribers = new Set<{ sink: Sink<T>; scheduler: Scheduler }>();

  /** The events, as a stream that does not replay. */
  readonly stream: Stream<T> = new Stream<T>({
    run: (sink, scheduler): Disposable<T> => {
      const subscriber = { sink, scheduler };
      this.#subscribers.add(subscriber);
      return {
        dispose: () => {
          this.#subscribers.delete(subscriber);
        },
      };
    },
  });

  /** Delivers an event to every present subscriber. */
  publish(event: T): void {
    for (const { sink, scheduler } of [...this.#subscribers]) {
      sink.event(scheduler.now(), event);
    }
  }

  /** Ends the stream for every present subscriber. */
  end(): void {
    for (const { sink, scheduler } of [...this.#subscribers]) {
      sink.end(scheduler.now(), undefined);
    }
    this.#subscribers.clear();
  }
}
