// A stock OpenAI client lists models and gets a whole answer, streamed and not.
import OpenAI from 'openai';

const client = new OpenAI({
  baseURL: `http://${process.argv[2]}/v1`,
  apiKey: 'walkers.demo',
  maxRetries: 0,
});

function check(what, condition) {
  if (condition) return;
  console.error(`wrong: ${what}`);
  process.exit(1);
}

const models = [];
for await (const model of client.models.list()) models.push(model.id);
check('models', models.includes('stile-1'));

const messages = [{role: 'user', content: 'Which stile is nearest? [[answer 12]]'}];
const whole = await client.chat.completions.create(
    {model: 'stile-1', max_tokens: 64, messages});
const text = whole.choices[0].message.content;
check('answer', text.trim().split(' ').length === 12);
check('finish', whole.choices[0].finish_reason === 'stop');
check('usage', whole.usage.completion_tokens === 12);

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
check('the streamed answer is the same', streamed === text);
check('streamed usage', usage?.completion_tokens === 12);

try {
  await client.chat.completions.create({model: 'none', messages});
  check('an unknown model is refused', false);
} catch (error) {
  check('status of an unknown model', error.status === 404);
  check('its code', error.code === 'model_not_found');
}
console.log('whole');
