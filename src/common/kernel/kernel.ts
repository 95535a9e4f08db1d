import {Disposable} from '../base/disposable.js';

/**
 * Maps the names of the program's internal services to their types. A module
 * that provides a service adds it by declaration merging, so `get` is typed.
 */
// eslint-disable-next-line @typescript-eslint/no-empty-object-type
export interface Services {}

/** Thrown when no service is registered under the requested name. */
export class ServiceNotFoundError extends Error {
  constructor(name: string, known: readonly string[]) {
    super(
      `No service named "${name}" is registered. ` +
        `Register it before use; known: ${known.join(', ') || 'none'}.`,
    );
  }
}

/** Thrown when a name is registered twice. */
export class DuplicateServiceError extends Error {
  constructor(name: string) {
    super(
      `A service named "${name}" is registered already. Choose another name.`,
    );
  }
}

function isDisposable(value: unknown): value is Disposable {
  return (
    typeof value === 'object' &&
    value !== null &&
    typeof (value as Disposable).dispose === 'function'
  );
}

/**
 * Registry of the program's internal services, which look each other up by
 * name. Disposes services in reverse order of registration, so a service
 * outlives the ones that depend on it.
 */
export class Kernel implements Disposable {
  private readonly services = new Map<string, unknown>();

  /**
   * Registers a service and returns it.
   *
   * @throws DuplicateServiceError when the name is taken.
   */
  register<N extends keyof Services & string>(
    name: N,
    service: Services[N],
  ): Services[N] {
    if (this.services.has(name)) throw new DuplicateServiceError(name);
    this.services.set(name, service);
    return service;
  }

  /**
   * Returns the service registered as `name`.
   *
   * @throws ServiceNotFoundError when there is none.
   */
  get<N extends keyof Services & string>(name: N): Services[N] {
    if (!this.services.has(name)) {
      throw new ServiceNotFoundError(name, [...this.services.keys()]);
    }
    return this.services.get(name) as Services[N];
  }

  dispose(): void {
    for (const service of [...this.services.values()].reverse()) {
      if (isDisposable(service)) service.dispose();
    }
    this.services.clear();
  }
}
