// Checks with the official OpenAI client that models are listed and that plain
// and streamed chat completions are complete and equal.
import OpenAI from 'openai';

const client = new OpenAI({
  baseURL: `http://${process.argv[2]}/v1`,
  apiKey: 'walkers.demo',
  maxRetries: 0,
});

function check(name, condition) {
  if (condition) return;
  console.error(`check failed: ${name}`);
  process.exit(1);
}

const models = [];
for await (const model of client.models.list()) models.push(model.id);
check('models', models.includes('stile-1'));

const messages = [{role: 'user', content: 'Which stile is nearest? [[answer 12]]'}];
const completion = await client.chat.completions.create(
    {model: 'stile-1', max_tokens: 64, messages});
const text = completion.choices[0].message.content;
check('answer', text.trim().split(' ').length === 12);
check('finish', completion.choices[0].finish_reason === 'stop');
check('usage', completion.usage.completion_tokens === 12);

let streamed = '';
let usage = null;
const stream = await client.chat.completions.create({
  model: 'stile-1',
  max_tokens: 64,
  messages,
  stream: true,
  stream_options: {include_usage: true},
});
for await (const chunk of stream) {
  streamed += chunk.choices[0]?.delta?.content ?? '';
  usage = chunk.usage ?? usage;
}
check('streamed content equals plain content', streamed === text);
check('streamed usage', usage?.completion_tokens === 12);

try {
  await client.chat.completions.create({model: 'none', messages});
  check('an unknown model is refused', false);
} catch (error) {
  check('status of an unknown model', error.status === 404);
  check('error code of an unknown model', error.code === 'model_not_found');
}
console.log('whole');
