/**
 * Publishes the events of a service as a `most` stream. Observers receive only
 * the events that are published while they are subscribed.
 */
import { type Disposable, type Scheduler, type Sink, Stream } from "most";

/** Source of a `most` stream. */
export class EventSource<T> {
  readonly #subscribers = new Set<{ sink: Sink<T>; scheduler: Scheduler }>();

  /** The stream of events; a new subscriber receives no earlier events. */
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

  /** Delivers an event to every current subscriber. */
  publish(event: T): void {
    for (const { sink, scheduler } of [...this.#subscribers]) {
      sink.event(scheduler.now(), event);
    }
  }

  /** Ends the stream for every current subscriber. */
  end(): void {
    for (const { sink, scheduler } of [...this.#subscribers]) {
      sink.end(scheduler.now(), undefined);
    }
    this.#subscribers.clear();
  }
}
